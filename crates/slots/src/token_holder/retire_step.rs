//! How a holder gives tokens up when a runner's slots shrink.

use crate::LedgerDraft;
use crate::TokenGauges;
use crate::TokenHolder;
use crate::TokenLedger;
use sapphirestile_core::RunnerName;

impl TokenHolder {
    /// Reserves up to `most` free tokens of `runner` to be retired by the next
    /// ledger, and returns how many are reserved in all.
    pub fn reserve_retired(
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

    /// The next ledger with the reserved tokens retired; nothing when none is
    /// reserved. They stay reserved until the holder goes by a newer ledger.
    ///
    /// # Panics
    ///
    /// When `ledger` is not the one that the holder goes by.
    pub fn draft_retired(&mut self, ledger: &TokenLedger) -> Option<LedgerDraft> {
        assert_eq!(
            ledger.generation, self.generation,
            "tokens are retired from another ledger than the holder's"
        );
        if self.rows.values().all(|row| row.retiring == 0) {
            return None;
        }
        let mut draft = ledger.draft();
        for (runner, row) in self.rows.iter().filter(|(_, row)| row.retiring > 0) {
            draft.retire(&self.me, runner, row.retiring);
        }
        self.retire_drafted = self.generation;
        Some(draft)
    }

    /// Publishes the reserved tokens again that the ledger did not retire. The
    /// last draft was made from an earlier ledger, so it cannot be written any
    /// more.
    pub(super) fn cancel_retired(&mut self, gauges: &impl TokenGauges) {
        assert!(
            self.generation > self.retire_drafted,
            "reserved tokens were put back while their draft may be written"
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
