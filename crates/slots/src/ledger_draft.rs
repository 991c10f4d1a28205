//! A ledger that is being changed.

use crate::LedgerGeneration;
use crate::MemberGrant;
use crate::RunnerGrant;
use crate::TokenLedger;
use crate::token_split::split_tokens;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;
use sapphirestile_core::SortedTable;

/// The next ledger, before it is written by compare-and-swap.
#[derive(Clone, Debug)]
pub struct LedgerDraft {
    former: LedgerGeneration,
    ledger: TokenLedger,
}

impl LedgerDraft {
    pub(crate) fn new(former: &TokenLedger) -> Self {
        let mut ledger = former.clone();
        ledger.generation = former.generation.next();
        Self {
            former: former.generation,
            ledger,
        }
    }

    /// Adds a member without tokens. It gets some from the others, or with the
    /// next runner.
    pub fn add_member(&mut self, identity: &DaemonIdentity) {
        if let Err(place) = self.ledger.members.binary_search(identity) {
            self.ledger.members.insert(place, identity.clone());
        }
    }

    /// Grants tokens until `runner` has `slots` of them. Tokens that are too
    /// many are left: their holders retire them.
    ///
    /// # Panics
    ///
    /// When the ledger has no member.
    pub fn size_runner(&mut self, runner: &RunnerName, slots: u32) {
        let birth = self.ledger.generation;
        let known = self.ledger.runners.get(runner.as_str());
        let held = known.map_or(0, |grant| grant.slots);
        if slots <= held {
            return;
        }
        let grant = self
            .ledger
            .runners
            .get_or_insert_with(runner.clone(), || RunnerGrant {
                birth,
                slots: 0,
                members: SortedTable::new(),
            });
        grant.slots = slots;
        spread(grant, &self.ledger.members, slots - held, runner.as_str());
    }

    /// Takes `count` tokens of `member` out for good. The member has reserved
    /// them, so that none is in use.
    ///
    /// # Panics
    ///
    /// When the runner has fewer tokens or is not known.
    pub fn retire(&mut self, member: &DaemonIdentity, runner: &RunnerName, count: u32) {
        assert!(self.ledger.has_member(member), "{member} is no member");
        let grant = self.ledger.runners.get_mut(runner.as_str());
        let grant = grant.expect("tokens of an unknown runner were retired");
        assert!(
            count <= grant.slots,
            "more tokens of {runner} were retired than exist"
        );
        grant.slots -= count;
        let own = grant
            .members
            .get_or_insert_with(member.clone(), Default::default);
        own.retired += count;
    }

    /// Forgets runners without tokens for which `keep` does not hold.
    pub fn forget_runners(&mut self, keep: impl Fn(&RunnerName) -> bool) {
        self.ledger
            .runners
            .retain(|runner, grant| grant.slots > 0 || keep(runner));
    }

    /// The ledger to write, if the store still holds the one before it.
    ///
    /// # Panics
    ///
    /// When the grants of a runner do not add up to its tokens.
    #[must_use]
    pub fn finish(mut self) -> TokenLedger {
        for (_, grant) in self.ledger.runners.iter_mut() {
            let empty = MemberGrant::default();
            grant.members.retain(|_, own| *own != empty);
        }
        if let Err(fault) = self.ledger.check() {
            panic!("a ledger was drafted that does not hold: {fault}");
        }
        self.ledger
    }

    /// The generation that the store must still hold.
    #[must_use]
    pub const fn former(&self) -> LedgerGeneration {
        self.former
    }

    pub(crate) const fn ledger_mut(&mut self) -> &mut TokenLedger {
        &mut self.ledger
    }
}

/// Grants `count` more tokens to `members`, split evenly.
pub fn spread(grant: &mut RunnerGrant, members: &[DaemonIdentity], count: u32, runner: &str) {
    assert!(!members.is_empty(), "tokens were granted to no member");
    let parts = split_tokens(count, members.len(), runner);
    for (member, part) in members.iter().zip(parts) {
        let own = grant
            .members
            .get_or_insert_with(member.clone(), Default::default);
        own.base += i64::from(part);
    }
}
