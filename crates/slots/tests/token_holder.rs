//! Scenes of tokens that move, are reclaimed and are retired.

use std::cell::Cell;

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_core::SortedTable;
use sapphirestile_slots::ApplyOutcome;
use sapphirestile_slots::LedgerFault;
use sapphirestile_slots::ReclaimFault;
use sapphirestile_slots::ReclaimPlan;
use sapphirestile_slots::TokenGauges;
use sapphirestile_slots::TokenHolder;
use sapphirestile_slots::TokenLedger;

const LONGEST_REQUEST_MS: u64 = 1_000;

/// The free tokens of the one runner of these scenes.
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

/// Members "vm-1" onwards that share `slots` tokens evenly.
fn scene(members: usize, slots: u32) -> (TokenLedger, Vec<Member>) {
    let mut draft = TokenLedger::default().draft();
    let names = (1..=members).map(|index| identity(&format!("vm-{index}")));
    let names = names.collect::<Vec<_>>();
    for member in &names {
        draft.add_member(member);
    }
    draft.size_runner(&runner(), slots);
    let ledger = draft.finish();
    let join = |me: &DaemonIdentity| {
        let free = FreeTokens::default();
        let holder = TokenHolder::new(me, &ledger, LONGEST_REQUEST_MS, at(0), &free);
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
fn a_repeated_message_hands_tokens_over_once() {
    let (_, mut members) = scene(2, 8);
    assert_eq!(hand_over(&mut members, 0, 1, 3), 3);
    assert_eq!(deliver(&mut members, 0, 1), 3);
    assert_eq!(deliver(&mut members, 0, 1), 0);
    assert_eq!(free_tokens(&members), [1, 7]);
}

#[test]
fn a_hand_over_is_news_three_times() {
    let (_, mut members) = scene(2, 8);
    let peer = identity("vm-2");
    assert_eq!(members[0].holder.news_to(&peer, 10), None);
    hand_over(&mut members, 0, 1, 3);
    for received in [3, 0, 0] {
        let message = members[0].holder.news_to(&peer, 10).unwrap();
        let Member { holder, free } = &mut members[1];
        assert_eq!(holder.receive(&message, free), received);
    }
    assert_eq!(members[0].holder.news_to(&peer, 10), None);
    assert_eq!(deliver(&mut members, 0, 1), 0);
}

#[test]
fn tokens_in_use_are_not_handed_over() {
    let (_, mut members) = scene(2, 8);
    members[0].free.0.set(1);
    assert_eq!(hand_over(&mut members, 0, 1, 3), 1);
}

#[test]
fn several_members_are_reclaimed_at_once_and_their_tokens_wait() {
    let (ledger, mut members) = scene(4, 8);
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
        assert_eq!(holder.lift_embargoes(at(1_004), free), 0);
    }
    assert_eq!(free_tokens(&members[..2]), [3, 1]);
    for Member { holder, free } in &mut members[..2] {
        assert_eq!(holder.lift_embargoes(at(1_005), free), 2);
    }
    assert_eq!(free_tokens(&members[..2]), [5, 3]);
}

#[test]
fn a_member_that_is_silent_without_proof_keeps_its_tokens() {
    let (ledger, mut members) = scene(3, 9);
    let gone = [identity("vm-1")];
    let reports = [members[1].holder.close(&gone[0])];
    let fault = ReclaimPlan::new(&ledger, &gone, &reports).unwrap_err();
    let missing = ReclaimFault::MissingReport {
        reporter: identity("vm-3"),
        closed: identity("vm-1"),
    };
    assert_eq!(fault, missing);
    assert_eq!(hand_over(&mut members, 2, 0, 1), 1);
}

#[test]
fn nothing_is_taken_from_a_closed_member() {
    let (_, mut members) = scene(2, 8);
    hand_over(&mut members, 0, 1, 2);
    members[1].holder.close(&identity("vm-1"));
    assert_eq!(deliver(&mut members, 0, 1), 0);
    assert_eq!(hand_over(&mut members, 1, 0, 1), 0);
}

#[test]
fn a_report_on_a_forgotten_runner_is_not_counted_for_its_next_birth() {
    let (ledger, mut members) = scene(3, 6);
    for (from, to, count) in [(1, 0, 2), (0, 2, 4)] {
        assert_eq!(hand_over(&mut members, from, to, count), count);
        assert_eq!(deliver(&mut members, from, to), count);
    }
    let gone = [identity("vm-1")];
    let stay = &mut members[1..];
    let reports = stay.iter_mut().map(|member| member.holder.close(&gone[0]));
    let reports = reports.collect::<Vec<_>>();
    let Member { holder, free } = &mut stay[1];
    assert_eq!(holder.reserve_retired(&runner(), 6, free), 6);
    let mut draft = holder.draft_retired(&ledger).unwrap();
    draft.forget_runners(|_| false);
    let mut draft = draft.finish().draft();
    draft.size_runner(&runner(), 3);
    let ledger = draft.finish();
    let plan = ReclaimPlan::new(&ledger, &gone, &reports).unwrap();
    let ledger = plan.draft().finish();
    for Member { holder, free } in stay.iter_mut() {
        assert_eq!(holder.apply(&ledger, at(0), free), ApplyOutcome::Applied);
        holder.lift_embargoes(at(LONGEST_REQUEST_MS), free);
    }
    assert_eq!(free_tokens(stay).iter().sum::<u32>(), 3);
}

#[test]
fn reserved_tokens_stay_out_of_use_while_their_write_may_still_land() {
    let (ledger, mut members) = scene(2, 8);
    let Member { holder, free } = &mut members[0];
    assert_eq!(holder.reserve_retired(&runner(), 3, free), 3);
    let lost = holder.draft_retired(&ledger).unwrap();
    assert_eq!(holder.apply(&ledger, at(0), free), ApplyOutcome::Known);
    assert_eq!(free.0.get(), 1);
    let mut draft = ledger.draft();
    draft.add_member(&identity("vm-9"));
    let ledger = draft.finish();
    assert_ne!(lost.former(), ledger.generation);
    assert_eq!(holder.apply(&ledger, at(0), free), ApplyOutcome::Applied);
    assert_eq!(free.0.get(), 4);
}

#[test]
fn two_members_that_retire_at_once_do_not_retire_too_much() {
    let (ledger, mut members) = scene(2, 8);
    let mut drafts = Vec::new();
    for Member { holder, free } in &mut members {
        assert_eq!(holder.reserve_retired(&runner(), 4, free), 4);
        drafts.extend(holder.draft_retired(&ledger));
    }
    let ledger = drafts.swap_remove(0).finish();
    assert_ne!(drafts[0].former(), ledger.generation);
    for Member { holder, free } in &mut members {
        holder.apply(&ledger, at(0), free);
    }
    assert_eq!(free_tokens(&members), [0, 4]);
    let runners = ledger.runners.values().map(|grant| grant.slots);
    assert_eq!(runners.collect::<Vec<_>>(), [4]);
}

#[test]
fn a_stopping_member_hands_over_everything_as_it_comes_free() {
    let (ledger, mut members) = scene(3, 9);
    let peers = [identity("vm-1"), identity("vm-2"), identity("vm-3")];
    members[0].free.0.set(2);
    let Member { holder, free } = &mut members[0];
    assert_eq!(holder.hand_over_all(&peers, free), 2);
    assert!(!holder.holds_nothing());
    free.0.set(1);
    assert_eq!(holder.reserve_retired(&runner(), 1, free), 1);
    assert!(!holder.holds_nothing());
    let ledger = ledger.draft().finish();
    holder.apply(&ledger, at(0), free);
    assert_eq!(holder.hand_over_all(&peers, free), 1);
    assert!(holder.holds_nothing());
    let received = deliver(&mut members, 0, 1) + deliver(&mut members, 0, 2);
    assert_eq!(received, 3);
    assert_eq!(free_tokens(&members).iter().sum::<u32>(), 9);
}

#[test]
fn a_removed_member_gives_up_what_is_free() {
    let (ledger, mut members) = scene(2, 8);
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
fn a_ledger_that_removes_a_member_without_a_report_is_refused() {
    let (ledger, mut members) = scene(2, 8);
    let mut forged = ledger.draft().finish();
    forged.members.remove(0);
    forged.runners = SortedTable::new();
    let Member { holder, free } = &mut members[1];
    holder.apply(&forged, at(0), free);
}

#[test]
fn a_ledger_that_does_not_add_up_is_found_out() {
    let (mut ledger, _) = scene(2, 8);
    ledger.runners.get_mut("runner-1").unwrap().slots = 9;
    assert_eq!(ledger.check(), Err(LedgerFault::Sum(runner())));
}
