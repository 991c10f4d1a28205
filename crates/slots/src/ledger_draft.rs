//! Construction of the next ledger.

use crate::LedgerGeneration;
use crate::MemberGrant;
use crate::RunnerGrant;
use crate::TokenLedger;
use crate::token_split::split_tokens;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;
use sapphirestile_core::SortedTable;

/// The next ledger, built from the current one and to be written by compare-and-swap.
#[derive(Clone, Debug)]
pub struct LedgerDraft {
    base_generation: LedgerGeneration,
    ledger: TokenLedger,
}

impl LedgerDraft {
    pub(crate) fn new(base: &TokenLedger) -> Self {
        let mut ledger = base.clone();
        ledger.generation = base.generation.next();
        Self {
            base_generation: base.generation,
            ledger,
        }
    }

    /// Adds a member without tokens. It receives tokens from other members, or by the
    /// next grant. A known member is ignored.
    pub fn add_member(&mut self, identity: &DaemonIdentity) {
        if let Err(index) = self.ledger.members.binary_search(identity) {
            self.ledger.members.insert(index, identity.clone());
        }
    }

    /// Grants tokens to the members until `runner` has `slots` of them, and adds the
    /// runner if it is new. If it has more, nothing changes: the holders retire the
    /// excess.
    ///
    /// # Panics
    ///
    /// If the ledger has no members.
    pub fn raise_slots(&mut self, runner: &RunnerName, slots: u32) {
        let created_in = self.ledger.generation;
        let known = self.ledger.runners.get(runner.as_str());
        let held = known.map_or(0, |grant| grant.slots);
        if slots <= held {
            return;
        }
        let grant = self
            .ledger
            .runners
            .get_or_insert_with(runner.clone(), || RunnerGrant {
                created_in,
                slots: 0,
                members: SortedTable::new(),
            });
        grant.slots = slots;
        grant_evenly(grant, &self.ledger.members, slots - held, runner.as_str());
    }

    /// Removes `count` tokens of `member` permanently. The member must have reserved
    /// them, so that none is in use.
    ///
    /// # Panics
    ///
    /// If the member or the runner is unknown, or the runner has fewer tokens.
    pub fn retire(&mut self, member: &DaemonIdentity, runner: &RunnerName, count: u32) {
        assert!(
            self.ledger.has_member(member),
            "{member} is not in the ledger"
        );
        let grant = self.ledger.runners.get_mut(runner.as_str());
        let grant = grant.expect("retired tokens must be of a runner in the ledger");
        assert!(
            count <= grant.slots,
            "retiring {count} tokens of {runner}, but only {} exist",
            grant.slots
        );
        grant.slots -= count;
        let own = grant
            .members
            .get_or_insert_with(member.clone(), Default::default);
        own.retired += count;
    }

    /// Removes runners without tokens, except those for which `keep` returns `true`.
    pub fn remove_empty_runners(&mut self, keep: impl Fn(&RunnerName) -> bool) {
        self.ledger
            .runners
            .retain(|runner, grant| grant.slots > 0 || keep(runner));
    }

    /// Returns the ledger, which may be written only if the store still holds
    /// [`LedgerDraft::base_generation`].
    ///
    /// # Panics
    ///
    /// If the grants of a runner do not add up to its slots.
    #[must_use]
    pub fn finish(mut self) -> TokenLedger {
        for (_, grant) in self.ledger.runners.iter_mut() {
            let empty = MemberGrant::default();
            grant.members.retain(|_, own| *own != empty);
        }
        if let Err(error) = self.ledger.check() {
            panic!("drafted ledger is invalid: {error}");
        }
        self.ledger
    }

    /// The generation that this draft is based on.
    #[must_use]
    pub const fn base_generation(&self) -> LedgerGeneration {
        self.base_generation
    }

    pub(crate) const fn ledger_mut(&mut self) -> &mut TokenLedger {
        &mut self.ledger
    }
}

/// Grants `count` more tokens to `members`, split evenly.
///
/// # Panics
///
/// If there are no members.
pub fn grant_evenly(grant: &mut RunnerGrant, members: &[DaemonIdentity], count: u32, runner: &str) {
    assert!(
        !members.is_empty(),
        "tokens of {runner} cannot be granted: no members"
    );
    let parts = split_tokens(count, members.len(), runner);
    for (member, part) in members.iter().zip(parts) {
        let own = grant
            .members
            .get_or_insert_with(member.clone(), Default::default);
        own.base += i64::from(part);
    }
}
