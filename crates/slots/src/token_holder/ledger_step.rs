//! How a holder goes from one ledger to the next.

use crate::ApplyOutcome;
use crate::HeldTokens;
use crate::RunnerGrant;
use crate::TokenGauges;
use crate::TokenHolder;
use crate::TokenLedger;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;

impl TokenHolder {
    /// Goes on with `ledger` when it is newer than the holder's.
    ///
    /// Tokens of removed members granted to this holder stay unused until the
    /// longest request has passed; other new tokens are published at once, and so
    /// are reserved ones that the ledger did not retire.
    ///
    /// # Panics
    ///
    /// When the ledger removes a member that the holder has not closed, or
    /// grants less than nothing.
    pub fn apply(
        &mut self,
        ledger: &TokenLedger,
        now: MonoTime,
        gauges: &impl TokenGauges,
    ) -> ApplyOutcome {
        if ledger.generation <= self.generation {
            return ApplyOutcome::Known;
        }
        if !ledger.has_member(&self.me) {
            self.generation = ledger.generation;
            self.give_up(gauges);
            return ApplyOutcome::Removed;
        }
        self.take_ledger(ledger, now, gauges);
        self.cancel_retired(gauges);
        ApplyOutcome::Applied
    }

    pub(super) fn take_ledger(
        &mut self,
        ledger: &TokenLedger,
        now: MonoTime,
        gauges: &impl TokenGauges,
    ) {
        let gone = self.members_gone(ledger);
        self.drop_runners(ledger);
        let until = now.plus_millis(self.longest_request_ms);
        let reclaimed = ledger.reclaims != self.reclaims;
        for (runner, grant) in ledger.runners.iter() {
            let row = self
                .rows
                .get_or_insert_with(runner.clone(), || HeldTokens::new(grant.birth));
            let fresh = take_grant(row, grant, &self.me, &gone);
            let born_now = grant.birth == ledger.generation;
            if reclaimed && !born_now {
                row.embargo(fresh, until);
            } else {
                row.published += fresh;
                gauges.add(runner, fresh);
            }
            row.assert_adds_up();
        }
        self.generation = ledger.generation;
        self.reclaims = ledger.reclaims;
        self.members.clone_from(&ledger.members);
    }

    fn members_gone(&self, ledger: &TokenLedger) -> Vec<DaemonIdentity> {
        let goes = |member: &&DaemonIdentity| !ledger.has_member(member);
        let gone = self.members.iter().filter(goes).cloned();
        let gone = gone.collect::<Vec<_>>();
        for member in &gone {
            let closed = self.has_closed(member);
            assert!(
                closed,
                "{member} was removed without the report of {}",
                self.me
            );
        }
        gone
    }

    /// Drops the runners that the ledger no longer has, or has again after it
    /// had lost them. Their tokens were all retired.
    fn drop_runners(&mut self, ledger: &TokenLedger) {
        self.rows.retain(|runner, row| {
            let grant = ledger.runners.get(runner.as_str());
            let stays = grant.is_some_and(|grant| grant.birth == row.birth);
            assert!(
                stays || row.published == 0 && row.embargoed() == 0,
                "{runner} was dropped while tokens of it were held"
            );
            stays
        });
    }

    /// Takes everything out of the gauges that no request uses. What requests
    /// still use ends with this process, which has no identity any more.
    fn give_up(&mut self, gauges: &impl TokenGauges) {
        self.members.clear();
        for (runner, row) in self.rows.iter_mut() {
            row.published -= gauges.remove_free(runner, row.published);
        }
    }
}

/// Takes over the grant of the next ledger and returns how many tokens it adds.
fn take_grant(
    row: &mut HeldTokens,
    grant: &RunnerGrant,
    me: &DaemonIdentity,
    gone: &[DaemonIdentity],
) -> u32 {
    let next = grant.of(me);
    row.repeats.retain(|member, _| !gone.contains(member));
    let folded = gone.iter().map(|member| row.counters.fold(member));
    let folded = folded.sum::<i64>();
    let fresh = next.base - row.grant.base - folded;
    let retired = next.retired - row.grant.retired;
    assert!(
        retired <= row.retiring,
        "tokens were retired that the holder had not reserved"
    );
    row.retiring -= retired;
    row.grant = next;
    u32::try_from(fresh).expect("a ledger granted less than nothing")
}
