//! Tokens of one runner held by one member.

use crate::HandoverCounters;
use crate::LedgerGeneration;
use crate::MemberGrant;
use crate::deferred_tokens::DeferredTokens;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// How many messages to a member contain a counter after it changed, so that the loss
/// of one of them causes no delay.
const RESEND_COUNT: u8 = 3;

/// The tokens of one runner that one member holds.
#[derive(Clone, Debug)]
pub struct HeldTokens {
    pub(crate) created_in: LedgerGeneration,
    pub(crate) grant: MemberGrant,
    pub(crate) counters: HandoverCounters,
    pub(crate) published: u32,
    pub(crate) retiring: u32,
    pub(crate) deferred: Vec<DeferredTokens>,
    /// How many further messages to each member contain its counter.
    pub(crate) resends_left: SortedTable<DaemonIdentity, u8>,
}

impl HeldTokens {
    pub(crate) fn new(created_in: LedgerGeneration) -> Self {
        Self {
            created_in,
            grant: MemberGrant::default(),
            counters: HandoverCounters::default(),
            published: 0,
            retiring: 0,
            deferred: Vec::new(),
            resends_left: SortedTable::new(),
        }
    }

    /// The ledger generation that added the runner.
    #[must_use]
    pub const fn created_in(&self) -> LedgerGeneration {
        self.created_in
    }

    /// All tokens held: those granted and received minus those sent and retired.
    ///
    /// # Panics
    ///
    /// If the result is negative.
    #[must_use]
    pub fn held(&self) -> u32 {
        let held = self.grant.net() + self.counters.net();
        u32::try_from(held)
            .unwrap_or_else(|_| panic!("number of held tokens is {held}, expected 0 or more"))
    }

    /// The tokens that are in the gauges, free or used by requests.
    #[must_use]
    pub const fn published(&self) -> u32 {
        self.published
    }

    /// The tokens taken out of use to be retired by the next ledger.
    #[must_use]
    pub const fn retiring(&self) -> u32 {
        self.retiring
    }

    /// The reclaimed tokens that must not be used yet.
    #[must_use]
    pub fn deferred(&self) -> u32 {
        self.deferred.iter().map(|tokens| tokens.count).sum()
    }

    /// The counters of tokens exchanged with the other members.
    #[must_use]
    pub const fn counters(&self) -> &HandoverCounters {
        &self.counters
    }

    /// Counts tokens as sent to `peer` and schedules the new total for sending.
    pub(crate) fn send(&mut self, peer: &DaemonIdentity, count: u32) {
        self.published -= count;
        self.counters.send(peer, count);
        self.resends_left.insert(peer.clone(), RESEND_COUNT);
        self.assert_adds_up();
    }

    /// Whether the total for `peer` has to be in the next message; decrements the
    /// number of messages left.
    pub(crate) fn take_resend(&mut self, peer: &DaemonIdentity) -> bool {
        let Some(left) = self.resends_left.get_mut(peer) else {
            return false;
        };
        *left -= 1;
        if *left == 0 {
            self.resends_left.remove(peer);
        }
        true
    }

    pub(crate) fn defer(&mut self, count: u32, until: MonoTime) {
        if count > 0 {
            self.deferred.push(DeferredTokens { count, until });
        }
    }

    /// Removes the deferred tokens that may be used from `now` on, and returns their
    /// number.
    pub(crate) fn take_due_tokens(&mut self, now: MonoTime) -> u32 {
        let mut freed = 0;
        self.deferred.retain(|tokens| {
            let due = tokens.until <= now;
            freed += if due { tokens.count } else { 0 };
            !due
        });
        freed
    }

    /// Asserts that each held token is published, retiring or deferred.
    pub(crate) fn assert_adds_up(&self) {
        let parts = self.published + self.retiring + self.deferred();
        assert_eq!(
            self.held(),
            parts,
            "held tokens (left) differ from published, retiring and deferred ones (right)"
        );
    }
}
