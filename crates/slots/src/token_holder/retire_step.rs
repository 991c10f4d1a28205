//! Retiring tokens when the slots of a runner are reduced.

use crate::LedgerDraft;
use crate::TokenGauges;
use crate::TokenHolder;
use crate::TokenLedger;
use sapphirestile_core::RunnerName;

impl TokenHolder {
    /// Takes free tokens of `runner` out of use, to be retired by the next ledger, until
    /// `most` are reserved. Returns the number reserved.
    pub fn reserve_for_retirement(
        &mut self,
        runner: &RunnerName,
        most: u32,
        gauges: &impl TokenGauges,
    ) -> u32 {
        let Some(row) = self.rows.get_mut(runner.as_str()) else {
            return 0;
        };
        let wanted = most.saturating_sub(row.retiring).min(row.published);
        let count = gauges.remove_free(runner, wanted);
        row.published -= count;
        row.retiring += count;
        row.assert_adds_up();
        row.retiring
    }

    /// Drafts the next ledger with the reserved tokens retired, or returns `None` if
    /// none are reserved. They stay reserved until a newer ledger is applied.
    ///
    /// # Panics
    ///
    /// If `ledger` is not the one that the holder applied last.
    pub fn draft_retirement(&mut self, ledger: &TokenLedger) -> Option<LedgerDraft> {
        assert_eq!(
            ledger.generation, self.generation,
            "tokens can be retired only from the applied ledger"
        );
        if self.rows.values().all(|row| row.retiring == 0) {
            return None;
        }
        let mut draft = ledger.draft();
        for (runner, row) in self.rows.iter().filter(|(_, row)| row.retiring > 0) {
            draft.retire(&self.identity, runner, row.retiring);
        }
        self.retirement_drafted_at = self.generation;
        Some(draft)
    }

    /// Publishes the reserved tokens that the applied ledger did not retire. The last
    /// draft is based on an earlier ledger, so it can no longer be written.
    pub(super) fn cancel_retirement(&mut self, gauges: &impl TokenGauges) {
        assert!(
            self.generation > self.retirement_drafted_at,
            "reserved tokens must not be used again while their draft may still be written"
        );
        for (runner, row) in self.rows.iter_mut() {
            let count = std::mem::take(&mut row.retiring);
            if count > 0 {
                row.published += count;
                row.assert_adds_up();
                gauges.add(runner, count);
            }
        }
    }
}
