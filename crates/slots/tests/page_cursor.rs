//! Counters that are repeated page by page.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_slots::PageCursor;
use sapphirestile_slots::TokenGauges;
use sapphirestile_slots::TokenHolder;
use sapphirestile_slots::TokenLedger;
use test_case::test_case;

const LONGEST_REQUEST_MS: u64 = 1_000;
const STEPS: usize = 40;

/// Gauges of which every token is free.
struct FreeTokens;

impl TokenGauges for FreeTokens {
    fn add(&self, _: &RunnerName, _: u32) {}

    fn remove_free(&self, _: &RunnerName, most: u32) -> u32 {
        most
    }
}

fn identity(name: &str) -> DaemonIdentity {
    DaemonIdentity {
        daemon: DaemonName::try_from(name).unwrap(),
        incarnation: IncarnationNumber::new(1),
    }
}

fn runner(place: usize) -> RunnerName {
    RunnerName::try_from(format!("runner-{place:05}")).unwrap()
}

/// A holder of tokens of `runners`, of which it handed one of the first `moved` to the
/// other member.
fn holder(runners: usize, moved: usize) -> TokenHolder {
    let (me, peer) = (identity("vm-1"), identity("vm-2"));
    let mut draft = TokenLedger::default().draft();
    draft.add_member(&me);
    draft.add_member(&peer);
    (0..runners).for_each(|place| draft.size_runner(&runner(place), 8));
    let now = MonoTime::from_millis(0);
    let mut holder = TokenHolder::new(&me, &draft.finish(), LONGEST_REQUEST_MS, now, &FreeTokens);
    for place in 0..moved {
        assert_eq!(holder.hand_over(&peer, &runner(place), 1, &FreeTokens), 1);
    }
    holder
}

/// The runners of the next pages, page after page.
fn pages(cursor: &mut PageCursor, holder: &TokenHolder, count: usize) -> Vec<RunnerName> {
    let peer = identity("vm-2");
    let totals = (0..count).flat_map(|_| cursor.next_page(holder, &peer).totals);
    totals.map(|total| total.runner).collect()
}

#[test_case(4_625, 4_625, 116; "every counter moved")]
#[test_case(4_625, 1_000, 25; "some counters moved")]
#[test_case(500, 100, 8; "few counters moved")]
#[test_case(48, 3, 3; "less than a page")]
fn a_round_repeats_every_counter_that_moved(runners: usize, moved: usize, largest: usize) {
    let holder = holder(runners, moved);
    let mut cursor = PageCursor::new(STEPS);
    let first = cursor.clone().next_page(&holder, &identity("vm-2"));
    assert_eq!(first.totals.len(), largest);
    let mut seen = pages(&mut cursor, &holder, STEPS);
    seen.sort();
    seen.dedup();
    assert_eq!(seen, (0..moved).map(runner).collect::<Vec<_>>());
}

#[test]
fn what_never_moved_is_not_repeated() {
    let holder = holder(4_625, 0);
    assert!(pages(&mut PageCursor::new(STEPS), &holder, STEPS).is_empty());
}

#[test]
fn what_moves_within_a_round_does_not_lengthen_it() {
    let mut holder = holder(4_625, 200);
    let mut cursor = PageCursor::new(STEPS);
    pages(&mut cursor, &holder, 3);
    let peer = identity("vm-2");
    for place in 200..4_625 {
        holder.hand_over(&peer, &runner(place), 1, &FreeTokens);
    }
    // One page more than a round, since the last one of the round is short.
    let mut next = pages(&mut cursor, &holder, STEPS + 1);
    next.sort();
    next.dedup();
    assert_eq!(next.len(), 4_625);
}
