//! Applying a new ledger to a holder.

use crate::ApplyOutcome;
use crate::HeldTokens;
use crate::RunnerGrant;
use crate::TokenGauges;
use crate::TokenHolder;
use crate::TokenLedger;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;

impl TokenHolder {
    /// Applies `ledger` if it is newer than the applied one.
    ///
    /// Tokens reclaimed from removed members stay unused until the longest possible
    /// request has ended. Other new tokens are published at once, as are tokens
    /// reserved for retirement that the ledger did not retire.
    ///
    /// # Panics
    ///
    /// If the ledger removes a member whose counters the holder has not closed, or
    /// takes away tokens that were not retired.
    pub fn apply(
        &mut self,
        ledger: &TokenLedger,
        now: MonoTime,
        gauges: &impl TokenGauges,
    ) -> ApplyOutcome {
        if ledger.generation <= self.generation {
            return ApplyOutcome::NotNewer;
        }
        if !ledger.has_member(&self.identity) {
            self.generation = ledger.generation;
            self.withdraw_free(gauges);
            return ApplyOutcome::Removed;
        }
        self.adopt_ledger(ledger, now, gauges);
        self.cancel_retirement(gauges);
        ApplyOutcome::Applied
    }

    pub(super) fn adopt_ledger(
        &mut self,
        ledger: &TokenLedger,
        now: MonoTime,
        gauges: &impl TokenGauges,
    ) {
        let gone = self.removed_members(ledger);
        self.remove_runners(ledger);
        let until = now.plus_millis(self.max_request_ms);
        let reclaimed = ledger.reclaims != self.reclaims;
        for (runner, grant) in ledger.runners.iter() {
            let row = self
                .rows
                .get_or_insert_with(runner.clone(), || HeldTokens::new(grant.created_in));
            let added = adopt_grant(row, grant, &self.identity, &gone);
            let created_now = grant.created_in == ledger.generation;
            if reclaimed && !created_now {
                row.defer(added, until);
            } else {
                row.published += added;
                gauges.add(runner, added);
            }
            row.assert_adds_up();
        }
        self.generation = ledger.generation;
        self.reclaims = ledger.reclaims;
        self.members.clone_from(&ledger.members);
    }

    fn removed_members(&self, ledger: &TokenLedger) -> Vec<DaemonIdentity> {
        let is_removed = |member: &&DaemonIdentity| !ledger.has_member(member);
        let gone = self.members.iter().filter(is_removed).cloned();
        let gone = gone.collect::<Vec<_>>();
        for member in &gone {
            let closed = self.has_closed(member);
            assert!(
                closed,
                "{member} was removed without the report of {}",
                self.identity
            );
        }
        gone
    }

    /// Removes the runners that are no longer in the ledger, or were removed and added
    /// again. All their tokens were retired before.
    fn remove_runners(&mut self, ledger: &TokenLedger) {
        self.rows.retain(|runner, row| {
            let grant = ledger.runners.get(runner.as_str());
            let is_kept = grant.is_some_and(|grant| grant.created_in == row.created_in);
            assert!(
                is_kept || row.published == 0 && row.deferred() == 0,
                "{runner} was removed from the ledger while {} published and {} deferred tokens are held",
                row.published,
                row.deferred()
            );
            is_kept
        });
    }

    /// Removes all tokens from the gauges that no request uses. The requests that use
    /// the others end with this process, which is no longer a member.
    fn withdraw_free(&mut self, gauges: &impl TokenGauges) {
        self.members.clear();
        for (runner, row) in self.rows.iter_mut() {
            row.published -= gauges.remove_free(runner, row.published);
        }
    }
}

/// Replaces the grant with that of the next ledger and returns the number of tokens
/// that it adds.
fn adopt_grant(
    row: &mut HeldTokens,
    grant: &RunnerGrant,
    identity: &DaemonIdentity,
    gone: &[DaemonIdentity],
) -> u32 {
    let next = grant.of(identity);
    row.resends_left.retain(|member, _| !gone.contains(member));
    let folded = gone.iter().map(|member| row.counters.remove_peer(member));
    let folded = folded.sum::<i64>();
    let added = next.base - row.grant.base - folded;
    let retired = next.retired - row.grant.retired;
    assert!(
        retired <= row.retiring,
        "ledger retires {retired} tokens, but only {} are reserved",
        row.retiring
    );
    row.retiring -= retired;
    row.grant = next;
    u32::try_from(added)
        .unwrap_or_else(|_| panic!("ledger takes away tokens that were not retired: {added} added"))
}
