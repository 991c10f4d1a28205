//! Tests of handing over, reclaiming and retiring tokens.

use std::cell::Cell;

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_core::SortedTable;
use sapphirestile_slots::ApplyOutcome;
use sapphirestile_slots::LedgerError;
use sapphirestile_slots::ReclaimError;
use sapphirestile_slots::ReclaimPlan;
use sapphirestile_slots::TokenGauges;
use sapphirestile_slots::TokenHolder;
use sapphirestile_slots::TokenLedger;

const MAX_REQUEST_MS: u64 = 1_000;

/// The free tokens of the only runner.
#[derive(Default)]
struct FreeTokens(Cell<u32>);

impl TokenGauges for FreeTokens {
    fn add(&self, _: &RunnerName, count: u32) {
        self.0.set(self.0.get() + count);
    }

    fn remove_free(&self, _: &RunnerName, most: u32) -> u32 {
        let count = most.min(self.0.get());
        self.0.set(self.0.get() - count);
        count
    }
}

struct Member {
    holder: TokenHolder,
    free: FreeTokens,
}

fn identity(name: &str) -> DaemonIdentity {
    DaemonIdentity {
        daemon: DaemonName::try_from(name).unwrap(),
        incarnation: IncarnationNumber::new(1),
    }
}

fn runner() -> RunnerName {
    RunnerName::try_from("runner-1").unwrap()
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Creates members, named from "vm-1" on, that share `slots` tokens evenly.
fn create_members(members: usize, slots: u32) -> (TokenLedger, Vec<Member>) {
    let mut draft = TokenLedger::default().draft();
    let names = (1..=members).map(|index| identity(&format!("vm-{index}")));
    let names = names.collect::<Vec<_>>();
    for member in &names {
        draft.add_member(member);
    }
    draft.raise_slots(&runner(), slots);
    let ledger = draft.finish();
    let join = |me: &DaemonIdentity| {
        let free = FreeTokens::default();
        let holder = TokenHolder::new(me, &ledger, MAX_REQUEST_MS, at(0), &free);
        Member { holder, free }
    };
    let members = names.iter().map(join).collect();
    (ledger, members)
}

fn hand_over(members: &mut [Member], from: usize, to: usize, most: u32) -> u32 {
    let to = members[to].holder.identity().clone();
    let Member { holder, free } = &mut members[from];
    holder.hand_over(&to, &runner(), most, free)
}

fn deliver(members: &mut [Member], from: usize, to: usize) -> u32 {
    let receiver = members[to].holder.identity().clone();
    let message = members[from].holder.message_to(&receiver, None, 100);
    let Member { holder, free } = &mut members[to];
    holder.receive(&message, free)
}

fn free_tokens(members: &[Member]) -> Vec<u32> {
    members.iter().map(|member| member.free.0.get()).collect()
}

#[test]
fn duplicated_message_hands_tokens_over_once() {
    let (_, mut members) = create_members(2, 8);
    assert_eq!(hand_over(&mut members, 0, 1, 3), 3);
    assert_eq!(deliver(&mut members, 0, 1), 3);
    assert_eq!(deliver(&mut members, 0, 1), 0);
    assert_eq!(free_tokens(&members), [1, 7]);
}

#[test]
fn change_is_sent_in_three_messages() {
    let (_, mut members) = create_members(2, 8);
    let peer = identity("vm-2");
    assert_eq!(members[0].holder.recent_changes_to(&peer, 10), None);
    hand_over(&mut members, 0, 1, 3);
    for received in [3, 0, 0] {
        let message = members[0].holder.recent_changes_to(&peer, 10).unwrap();
        let Member { holder, free } = &mut members[1];
        assert_eq!(holder.receive(&message, free), received);
    }
    assert_eq!(members[0].holder.recent_changes_to(&peer, 10), None);
    assert_eq!(deliver(&mut members, 0, 1), 0);
}

#[test]
fn tokens_in_use_are_not_handed_over() {
    let (_, mut members) = create_members(2, 8);
    members[0].free.0.set(1);
    assert_eq!(hand_over(&mut members, 0, 1, 3), 1);
}

#[test]
fn tokens_of_several_removed_members_are_deferred() {
    let (ledger, mut members) = create_members(4, 8);
    hand_over(&mut members, 2, 3, 2);
    deliver(&mut members, 2, 3);
    hand_over(&mut members, 3, 0, 1);
    deliver(&mut members, 3, 0);
    hand_over(&mut members, 1, 2, 1);
    let gone = [identity("vm-3"), identity("vm-4")];
    let mut reports = Vec::new();
    for member in &mut members[..2] {
        reports.extend(gone.iter().map(|gone| member.holder.close(gone)));
    }
    let ledger = ReclaimPlan::new(&ledger, &gone, &reports)
        .unwrap()
        .draft()
        .finish();
    for Member { holder, free } in &mut members[..2] {
        assert_eq!(holder.apply(&ledger, at(5), free), ApplyOutcome::Applied);
        assert_eq!(holder.publish_due_tokens(at(1_004), free), 0);
    }
    assert_eq!(free_tokens(&members[..2]), [3, 1]);
    for Member { holder, free } in &mut members[..2] {
        assert_eq!(holder.publish_due_tokens(at(1_005), free), 2);
    }
    assert_eq!(free_tokens(&members[..2]), [5, 3]);
}

#[test]
fn tokens_are_not_reclaimed_while_a_report_is_missing() {
    let (ledger, mut members) = create_members(3, 9);
    let gone = [identity("vm-1")];
    let reports = [members[1].holder.close(&gone[0])];
    let error = ReclaimPlan::new(&ledger, &gone, &reports).unwrap_err();
    let missing = ReclaimError::MissingReport {
        reporter: identity("vm-3"),
        closed: identity("vm-1"),
    };
    assert_eq!(error, missing);
    assert_eq!(hand_over(&mut members, 2, 0, 1), 1);
}

#[test]
fn closed_member_exchanges_no_tokens() {
    let (_, mut members) = create_members(2, 8);
    hand_over(&mut members, 0, 1, 2);
    members[1].holder.close(&identity("vm-1"));
    assert_eq!(deliver(&mut members, 0, 1), 0);
    assert_eq!(hand_over(&mut members, 1, 0, 1), 0);
}

#[test]
fn report_on_a_removed_runner_is_ignored_after_it_was_added_again() {
    let (ledger, mut members) = create_members(3, 6);
    for (from, to, count) in [(1, 0, 2), (0, 2, 4)] {
        assert_eq!(hand_over(&mut members, from, to, count), count);
        assert_eq!(deliver(&mut members, from, to), count);
    }
    let gone = [identity("vm-1")];
    let remaining = &mut members[1..];
    let reports = remaining
        .iter_mut()
        .map(|member| member.holder.close(&gone[0]));
    let reports = reports.collect::<Vec<_>>();
    let Member { holder, free } = &mut remaining[1];
    assert_eq!(holder.reserve_for_retirement(&runner(), 6, free), 6);
    let mut draft = holder.draft_retirement(&ledger).unwrap();
    draft.remove_empty_runners(|_| false);
    let mut draft = draft.finish().draft();
    draft.raise_slots(&runner(), 3);
    let ledger = draft.finish();
    let plan = ReclaimPlan::new(&ledger, &gone, &reports).unwrap();
    let ledger = plan.draft().finish();
    for Member { holder, free } in remaining.iter_mut() {
        assert_eq!(holder.apply(&ledger, at(0), free), ApplyOutcome::Applied);
        holder.publish_due_tokens(at(MAX_REQUEST_MS), free);
    }
    assert_eq!(free_tokens(remaining).iter().sum::<u32>(), 3);
}

#[test]
fn reserved_tokens_stay_unused_while_their_draft_may_still_be_written() {
    let (ledger, mut members) = create_members(2, 8);
    let Member { holder, free } = &mut members[0];
    assert_eq!(holder.reserve_for_retirement(&runner(), 3, free), 3);
    let lost = holder.draft_retirement(&ledger).unwrap();
    assert_eq!(holder.apply(&ledger, at(0), free), ApplyOutcome::NotNewer);
    assert_eq!(free.0.get(), 1);
    let mut draft = ledger.draft();
    draft.add_member(&identity("vm-9"));
    let ledger = draft.finish();
    assert_ne!(lost.base_generation(), ledger.generation);
    assert_eq!(holder.apply(&ledger, at(0), free), ApplyOutcome::Applied);
    assert_eq!(free.0.get(), 4);
}

#[test]
fn concurrent_retirement_by_two_members_retires_tokens_once() {
    let (ledger, mut members) = create_members(2, 8);
    let mut drafts = Vec::new();
    for Member { holder, free } in &mut members {
        assert_eq!(holder.reserve_for_retirement(&runner(), 4, free), 4);
        drafts.extend(holder.draft_retirement(&ledger));
    }
    let ledger = drafts.swap_remove(0).finish();
    assert_ne!(drafts[0].base_generation(), ledger.generation);
    for Member { holder, free } in &mut members {
        holder.apply(&ledger, at(0), free);
    }
    assert_eq!(free_tokens(&members), [0, 4]);
    let runners = ledger.runners.values().map(|grant| grant.slots);
    assert_eq!(runners.collect::<Vec<_>>(), [4]);
}

#[test]
fn member_that_shuts_down_hands_tokens_over_as_they_become_free() {
    let (ledger, mut members) = create_members(3, 9);
    let peers = [identity("vm-1"), identity("vm-2"), identity("vm-3")];
    members[0].free.0.set(2);
    let Member { holder, free } = &mut members[0];
    assert_eq!(holder.hand_over_all(&peers, free), 2);
    assert!(!holder.is_empty());
    free.0.set(1);
    assert_eq!(holder.reserve_for_retirement(&runner(), 1, free), 1);
    assert!(!holder.is_empty());
    let ledger = ledger.draft().finish();
    holder.apply(&ledger, at(0), free);
    assert_eq!(holder.hand_over_all(&peers, free), 1);
    assert!(holder.is_empty());
    let received = deliver(&mut members, 0, 1) + deliver(&mut members, 0, 2);
    assert_eq!(received, 3);
    assert_eq!(free_tokens(&members).iter().sum::<u32>(), 9);
}

#[test]
fn removed_member_withdraws_its_free_tokens() {
    let (ledger, mut members) = create_members(2, 8);
    let gone = [identity("vm-1")];
    let reports = [members[1].holder.close(&gone[0])];
    let ledger = ReclaimPlan::new(&ledger, &gone, &reports)
        .unwrap()
        .draft()
        .finish();
    let Member { holder, free } = &mut members[0];
    free.0.set(3);
    assert_eq!(holder.apply(&ledger, at(0), free), ApplyOutcome::Removed);
    assert_eq!(free.0.get(), 0);
    free.0.set(1);
    assert_eq!(hand_over(&mut members, 0, 1, 1), 0);
}

#[test]
#[should_panic(expected = "was removed without the report of vm-2#1")]
fn ledger_that_removes_a_member_without_a_report_panics() {
    let (ledger, mut members) = create_members(2, 8);
    let mut forged = ledger.draft().finish();
    forged.members.remove(0);
    forged.runners = SortedTable::new();
    let Member { holder, free } = &mut members[1];
    holder.apply(&forged, at(0), free);
}

#[test]
fn ledger_whose_grants_do_not_add_up_is_invalid() {
    let (mut ledger, _) = create_members(2, 8);
    ledger.runners.get_mut("runner-1").unwrap().slots = 9;
    assert_eq!(ledger.check(), Err(LedgerError::SumMismatch(runner())));
}
