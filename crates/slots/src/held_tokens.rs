//! What one member holds of one runner.

use crate::HandoverCounters;
use crate::LedgerGeneration;
use crate::MemberGrant;
use crate::embargoed_tokens::EmbargoedTokens;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

const REPEATS: u8 = 3;

/// The tokens of one runner that one member holds.
#[derive(Clone, Debug)]
pub struct HeldTokens {
    pub(crate) birth: LedgerGeneration,
    pub(crate) grant: MemberGrant,
    pub(crate) counters: HandoverCounters,
    pub(crate) published: u32,
    pub(crate) retiring: u32,
    pub(crate) embargoed: Vec<EmbargoedTokens>,
    /// How many more messages to a member repeat its counter at once.
    pub(crate) repeats: SortedTable<DaemonIdentity, u8>,
}

impl HeldTokens {
    pub(crate) fn new(birth: LedgerGeneration) -> Self {
        Self {
            birth,
            grant: MemberGrant::default(),
            counters: HandoverCounters::default(),
            published: 0,
            retiring: 0,
            embargoed: Vec::new(),
            repeats: SortedTable::new(),
        }
    }

    /// The generation that added the runner.
    #[must_use]
    pub const fn birth(&self) -> LedgerGeneration {
        self.birth
    }

    /// All tokens held: granted and received, less sent and retired.
    ///
    /// # Panics
    ///
    /// When it would be below zero.
    #[must_use]
    pub fn holding(&self) -> u32 {
        let holding = self.grant.net() + self.counters.net();
        u32::try_from(holding).expect("a member holds less than no token")
    }

    /// The tokens that requests may use now.
    #[must_use]
    pub const fn published(&self) -> u32 {
        self.published
    }

    /// The tokens reserved to be retired.
    #[must_use]
    pub const fn retiring(&self) -> u32 {
        self.retiring
    }

    /// The tokens that may not be used yet.
    #[must_use]
    pub fn embargoed(&self) -> u32 {
        self.embargoed.iter().map(|tokens| tokens.count).sum()
    }

    /// The counters towards the other members.
    #[must_use]
    pub const fn counters(&self) -> &HandoverCounters {
        &self.counters
    }

    /// Counts tokens out to `peer` and has the new total sent soon.
    pub(crate) fn send(&mut self, peer: &DaemonIdentity, count: u32) {
        self.published -= count;
        self.counters.send(peer, count);
        self.repeats.insert(peer.clone(), REPEATS);
        self.assert_adds_up();
    }

    /// Whether the total towards `peer` is to be sent now, counting that down.
    pub(crate) fn take_repeat(&mut self, peer: &DaemonIdentity) -> bool {
        let Some(left) = self.repeats.get_mut(peer) else {
            return false;
        };
        *left -= 1;
        if *left == 0 {
            self.repeats.remove(peer);
        }
        true
    }

    pub(crate) fn embargo(&mut self, count: u32, until: MonoTime) {
        if count > 0 {
            self.embargoed.push(EmbargoedTokens { count, until });
        }
    }

    /// Lifts the embargoes whose time has come and returns how many tokens that
    /// frees.
    pub(crate) fn lift_embargo(&mut self, now: MonoTime) -> u32 {
        let mut freed = 0;
        self.embargoed.retain(|tokens| {
            let due = tokens.until <= now;
            freed += if due { tokens.count } else { 0 };
            !due
        });
        freed
    }

    /// Asserts that each token held is published, retiring or embargoed.
    pub(crate) fn assert_adds_up(&self) {
        let parts = self.published + self.retiring + self.embargoed();
        assert_eq!(self.holding(), parts, "tokens of a member do not add up");
    }
}
