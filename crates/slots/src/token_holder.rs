//! Tokens held by one daemon.

mod drain_step;
mod ledger_step;
mod retire_step;

use crate::ClosedReport;
use crate::ClosedTotal;
use crate::HandoverMessage;
use crate::HandoverTotal;
use crate::HeldTokens;
use crate::LedgerGeneration;
use crate::TokenGauges;
use crate::TokenLedger;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_core::SortedTable;

/// The tokens that one daemon holds. It is owned by a single thread of the daemon.
#[derive(Clone, Debug)]
pub struct TokenHolder {
    identity: DaemonIdentity,
    /// The longest time that a request can use a token, in milliseconds.
    max_request_ms: u64,
    /// The generation of the ledger applied last.
    generation: LedgerGeneration,
    /// The number of reclaims in the ledger applied last; it differs in a ledger that
    /// grants reclaimed tokens.
    reclaims: u64,
    /// The members of the ledger applied last; empty once this member is removed.
    members: Vec<DaemonIdentity>,
    rows: SortedTable<RunnerName, HeldTokens>,
    /// The latest incarnation of each daemon whose counters are closed.
    closed: SortedTable<DaemonName, IncarnationNumber>,
    /// The generation of the ledger that the last draft of a retirement is based on.
    retirement_drafted_at: LedgerGeneration,
}

impl TokenHolder {
    /// Creates the holder of the member `identity` of `ledger`.
    ///
    /// Tokens granted by `ledger` may be used at once. They contain none of a removed
    /// member, since a reclaim after this member joined would have needed its report.
    /// Tokens reclaimed later stay unused for `max_request_ms` milliseconds.
    ///
    /// # Panics
    ///
    /// If `identity` is not a member.
    #[must_use]
    pub fn new(
        identity: &DaemonIdentity,
        ledger: &TokenLedger,
        max_request_ms: u64,
        now: MonoTime,
        gauges: &impl TokenGauges,
    ) -> Self {
        assert!(
            ledger.has_member(identity),
            "{identity} is not in the ledger"
        );
        let mut holder = Self {
            identity: identity.clone(),
            max_request_ms,
            generation: LedgerGeneration::default(),
            reclaims: ledger.reclaims,
            members: Vec::new(),
            rows: SortedTable::new(),
            closed: SortedTable::new(),
            retirement_drafted_at: LedgerGeneration::default(),
        };
        holder.adopt_ledger(ledger, now, gauges);
        holder
    }

    /// The member whose tokens these are.
    #[must_use]
    pub const fn identity(&self) -> &DaemonIdentity {
        &self.identity
    }

    /// The generation of the ledger that the holder applied last.
    #[must_use]
    pub const fn generation(&self) -> LedgerGeneration {
        self.generation
    }

    /// The held tokens of each runner in the ledger applied last.
    #[must_use]
    pub const fn rows(&self) -> &SortedTable<RunnerName, HeldTokens> {
        &self.rows
    }

    /// Whether tokens may be handed to `peer` and accepted from it.
    #[must_use]
    pub fn exchanges_with(&self, peer: &DaemonIdentity) -> bool {
        let member = self.members.binary_search(peer).is_ok();
        member && *peer != self.identity && !self.has_closed(peer)
    }

    /// Hands up to `most` free tokens of `runner` to `to` and returns the number.
    ///
    /// The tokens are removed from the gauges before they are counted as sent. The
    /// messages of [`Self::message_to`] contain the new total until it arrives.
    pub fn hand_over(
        &mut self,
        to: &DaemonIdentity,
        runner: &RunnerName,
        most: u32,
        gauges: &impl TokenGauges,
    ) -> u32 {
        if !self.exchanges_with(to) {
            return 0;
        }
        let Some(row) = self.rows.get_mut(runner.as_str()) else {
            return 0;
        };
        let count = gauges.remove_free(runner, most.min(row.published));
        if count > 0 {
            row.send(to, count);
        }
        count
    }

    /// Returns the totals sent to `peer`, for at most `most` runners after `after`.
    ///
    /// Sending all pages in turn makes up for lost messages.
    #[must_use]
    pub fn message_to(
        &self,
        peer: &DaemonIdentity,
        after: Option<&RunnerName>,
        most: usize,
    ) -> HandoverMessage {
        let later = |runner: &&RunnerName| after.is_none_or(|after| *runner > after);
        let rows = self.rows.iter().filter(|(runner, _)| later(runner));
        let totals = rows.filter_map(|(runner, row)| total_of(runner, row, peer));
        self.message(peer, totals.take(most).collect())
    }

    /// The number of runners whose tokens were ever handed to `peer`.
    #[must_use]
    pub fn moved_runner_count(&self, peer: &DaemonIdentity) -> usize {
        let moved = |row: &&HeldTokens| row.counters.sent_to(peer) > 0;
        self.rows.values().filter(moved).count()
    }

    /// Returns at most `most` totals for `peer` that changed recently, or `None` if
    /// there are none. Each change is in three such messages.
    pub fn recent_changes_to(
        &mut self,
        peer: &DaemonIdentity,
        most: usize,
    ) -> Option<HandoverMessage> {
        let rows = self.rows.iter_mut();
        let totals = rows.filter_map(|(runner, row)| {
            let due = row.take_resend(peer);
            due.then(|| total_of(runner, row, peer)).flatten()
        });
        let totals = totals.take(most).collect::<Vec<_>>();
        (!totals.is_empty()).then(|| self.message(peer, totals))
    }

    fn message(&self, peer: &DaemonIdentity, totals: Vec<HandoverTotal>) -> HandoverMessage {
        HandoverMessage {
            from: self.identity.clone(),
            to: peer.clone(),
            totals,
        }
    }

    /// Accepts the tokens of a message that were not accepted before, and returns their
    /// number.
    ///
    /// A message for another incarnation of this daemon, or from a member whose
    /// counters are closed, is ignored, and so are totals of runners that are not in the
    /// applied ledger. Totals are resent, so none is lost.
    ///
    /// # Panics
    ///
    /// If the number of tokens of a runner overflows its counter.
    pub fn receive(&mut self, message: &HandoverMessage, gauges: &impl TokenGauges) -> u32 {
        if message.to != self.identity || !self.exchanges_with(&message.from) {
            return 0;
        }
        let mut received = 0;
        for total in &message.totals {
            let row = self.rows.get_mut(total.runner.as_str());
            let Some(row) = row.filter(|row| row.created_in == total.created_in) else {
                continue;
            };
            let added = row.counters.merge(&message.from, total.total);
            let added =
                u32::try_from(added).expect("number of tokens handed over exceeds u32::MAX");
            row.published += added;
            row.assert_adds_up();
            gauges.add(&total.runner, added);
            received += added;
        }
        received
    }

    /// Closes the counters with a member that is proven gone, and with all earlier
    /// incarnations of its daemon. From then on no tokens are accepted from it or
    /// handed to it, so repeated calls return the same totals of a runner, as long as
    /// the runner is in the ledger.
    pub fn close(&mut self, gone: &DaemonIdentity) -> ClosedReport {
        let known = self
            .closed
            .get_or_insert_with(gone.daemon.clone(), || gone.incarnation);
        *known = gone.incarnation.max(*known);
        let totals = self.rows.iter().filter_map(|(runner, row)| {
            let sent = row.counters.sent_to(gone);
            let received = row.counters.received_from(gone);
            (sent > 0 || received > 0).then(|| ClosedTotal {
                runner: runner.clone(),
                created_in: row.created_in,
                sent,
                received,
            })
        });
        ClosedReport {
            reporter: self.identity.clone(),
            closed: gone.clone(),
            totals: totals.collect(),
        }
    }

    /// Whether the counters with `peer` are closed.
    #[must_use]
    pub fn has_closed(&self, peer: &DaemonIdentity) -> bool {
        let closed = self.closed.get(peer.daemon.as_str());
        closed.is_some_and(|incarnation| peer.incarnation <= *incarnation)
    }

    /// Publishes the deferred tokens that may be used from `now` on, and returns their
    /// number.
    pub fn publish_due_tokens(&mut self, now: MonoTime, gauges: &impl TokenGauges) -> u32 {
        let mut published = 0;
        for (runner, row) in self.rows.iter_mut() {
            let due = row.take_due_tokens(now);
            if due > 0 {
                row.published += due;
                row.assert_adds_up();
                gauges.add(runner, due);
                published += due;
            }
        }
        published
    }
}

fn total_of(runner: &RunnerName, row: &HeldTokens, peer: &DaemonIdentity) -> Option<HandoverTotal> {
    let total = row.counters.sent_to(peer);
    (total > 0).then(|| HandoverTotal {
        runner: runner.clone(),
        created_in: row.created_in,
        total,
    })
}
