//! The tokens of one daemon.

mod leave_step;
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

/// The tokens that one daemon holds, owned by one of its threads.
#[derive(Clone, Debug)]
pub struct TokenHolder {
    me: DaemonIdentity,
    longest_request_ms: u64,
    generation: LedgerGeneration,
    reclaims: u64,
    members: Vec<DaemonIdentity>,
    rows: SortedTable<RunnerName, HeldTokens>,
    closed: SortedTable<DaemonName, IncarnationNumber>,
    retire_drafted: LedgerGeneration,
}

impl TokenHolder {
    /// A holder for the member `me` of `ledger`.
    ///
    /// What `ledger` grants to it may be used at once: no token of a removed
    /// member is among it, since a reclaim after the member joined would have
    /// needed its report. Tokens reclaimed later stay unused for
    /// `longest_request_ms` milliseconds.
    ///
    /// # Panics
    ///
    /// When `me` is no member.
    #[must_use]
    pub fn new(
        me: &DaemonIdentity,
        ledger: &TokenLedger,
        longest_request_ms: u64,
        now: MonoTime,
        gauges: &impl TokenGauges,
    ) -> Self {
        assert!(ledger.has_member(me), "{me} is no member");
        let mut holder = Self {
            me: me.clone(),
            longest_request_ms,
            generation: LedgerGeneration::default(),
            reclaims: ledger.reclaims,
            members: Vec::new(),
            rows: SortedTable::new(),
            closed: SortedTable::new(),
            retire_drafted: LedgerGeneration::default(),
        };
        holder.take_ledger(ledger, now, gauges);
        holder
    }

    /// The member that this is the holder of.
    #[must_use]
    pub const fn identity(&self) -> &DaemonIdentity {
        &self.me
    }

    /// The generation of the ledger that the holder goes by.
    #[must_use]
    pub const fn generation(&self) -> LedgerGeneration {
        self.generation
    }

    /// What the holder has of each runner.
    #[must_use]
    pub const fn rows(&self) -> &SortedTable<RunnerName, HeldTokens> {
        &self.rows
    }

    /// Whether tokens may be handed to `peer`, or taken from it.
    #[must_use]
    pub fn trades_with(&self, peer: &DaemonIdentity) -> bool {
        let member = self.members.binary_search(peer).is_ok();
        member && *peer != self.me && !self.has_closed(peer)
    }

    /// Hands up to `most` free tokens of `runner` to `to` and returns how many.
    ///
    /// The tokens are taken from the gauges first, then counted; the messages of
    /// [`Self::message_to`] carry the count until it arrives.
    pub fn hand_over(
        &mut self,
        to: &DaemonIdentity,
        runner: &RunnerName,
        most: u32,
        gauges: &impl TokenGauges,
    ) -> u32 {
        if !self.trades_with(to) {
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

    /// The counters towards `peer` of at most `most` runners after `after`.
    ///
    /// Sent page by page in turn, it makes good for every lost message.
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

    /// Of how many runners tokens were ever handed to `peer`.
    #[must_use]
    pub fn moved_to(&self, peer: &DaemonIdentity) -> usize {
        let moved = |row: &&HeldTokens| row.counters.sent_to(peer) > 0;
        self.rows.values().filter(moved).count()
    }

    /// The counters towards `peer` that grew lately, at most `most` of them; each
    /// is in three such messages. Nothing when there are none.
    pub fn news_to(&mut self, peer: &DaemonIdentity, most: usize) -> Option<HandoverMessage> {
        let rows = self.rows.iter_mut();
        let news = rows.filter_map(|(runner, row)| {
            let fresh = row.take_repeat(peer);
            fresh.then(|| total_of(runner, row, peer)).flatten()
        });
        let totals = news.take(most).collect::<Vec<_>>();
        (!totals.is_empty()).then(|| self.message(peer, totals))
    }

    fn message(&self, peer: &DaemonIdentity, totals: Vec<HandoverTotal>) -> HandoverMessage {
        HandoverMessage {
            from: self.me.clone(),
            to: peer.clone(),
            totals,
        }
    }

    /// Takes the tokens of a message that were not taken before, and returns how
    /// many.
    ///
    /// A message for another life of this daemon, of a member that is closed, or
    /// of a runner that the holder's ledger does not know changes nothing: the
    /// counters come again.
    ///
    /// # Panics
    ///
    /// When the tokens of a runner overflow their counter.
    pub fn receive(&mut self, message: &HandoverMessage, gauges: &impl TokenGauges) -> u32 {
        if message.to != self.me || !self.trades_with(&message.from) {
            return 0;
        }
        let mut received = 0;
        for total in &message.totals {
            let row = self.rows.get_mut(total.runner.as_str());
            let Some(row) = row.filter(|row| row.birth == total.birth) else {
                continue;
            };
            let fresh = row.counters.merge(&message.from, total.total);
            let fresh = u32::try_from(fresh).expect("a hand-over overflowed");
            row.published += fresh;
            row.assert_adds_up();
            gauges.add(&total.runner, fresh);
            received += fresh;
        }
        received
    }

    /// Closes the counters with a member that is proven gone, and every earlier
    /// life of it. Nothing is accepted from it, and nothing handed to it, ever
    /// after; the same call always returns the same totals of a runner, for as
    /// long as the ledger has the runner.
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
                birth: row.birth,
                sent,
                received,
            })
        });
        ClosedReport {
            reporter: self.me.clone(),
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

    /// Publishes the tokens whose time has come and returns how many.
    pub fn lift_embargoes(&mut self, now: MonoTime, gauges: &impl TokenGauges) -> u32 {
        let mut lifted = 0;
        for (runner, row) in self.rows.iter_mut() {
            let freed = row.lift_embargo(now);
            if freed > 0 {
                row.published += freed;
                row.assert_adds_up();
                gauges.add(runner, freed);
                lifted += freed;
            }
        }
        lifted
    }
}

fn total_of(runner: &RunnerName, row: &HeldTokens, peer: &DaemonIdentity) -> Option<HandoverTotal> {
    let total = row.counters.sent_to(peer);
    (total > 0).then(|| HandoverTotal {
        runner: runner.clone(),
        birth: row.birth,
        total,
    })
}
