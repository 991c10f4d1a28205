//! Tests of resending counters page by page.

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

const MAX_REQUEST_MS: u64 = 1_000;
const PAGES_PER_ROUND: usize = 40;

/// Gauges in which every token is free.
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

fn runner(index: usize) -> RunnerName {
    RunnerName::try_from(format!("runner-{index:05}")).unwrap()
}

/// A holder of tokens of `runners` runners, which handed one token of each of the first
/// `moved` runners to the other member.
fn holder(runners: usize, moved: usize) -> TokenHolder {
    let (me, peer) = (identity("vm-1"), identity("vm-2"));
    let mut draft = TokenLedger::default().draft();
    draft.add_member(&me);
    draft.add_member(&peer);
    (0..runners).for_each(|index| draft.raise_slots(&runner(index), 8));
    let now = MonoTime::from_millis(0);
    let mut holder = TokenHolder::new(&me, &draft.finish(), MAX_REQUEST_MS, now, &FreeTokens);
    for index in 0..moved {
        assert_eq!(holder.hand_over(&peer, &runner(index), 1, &FreeTokens), 1);
    }
    holder
}

/// The runners of the next `count` pages.
fn pages(cursor: &mut PageCursor, holder: &TokenHolder, count: usize) -> Vec<RunnerName> {
    let peer = identity("vm-2");
    let totals = (0..count).flat_map(|_| cursor.next_page(holder, &peer).totals);
    totals.map(|total| total.runner).collect()
}

#[test_case(4_625, 4_625, 116; "every counter moved")]
#[test_case(4_625, 1_000, 25; "some counters moved")]
#[test_case(500, 100, 8; "few counters moved")]
#[test_case(48, 3, 3; "less than a page")]
fn round_contains_every_changed_counter(runners: usize, moved: usize, largest: usize) {
    let holder = holder(runners, moved);
    let mut cursor = PageCursor::new(PAGES_PER_ROUND);
    let first = cursor.clone().next_page(&holder, &identity("vm-2"));
    assert_eq!(first.totals.len(), largest);
    let mut seen = pages(&mut cursor, &holder, PAGES_PER_ROUND);
    seen.sort();
    seen.dedup();
    assert_eq!(seen, (0..moved).map(runner).collect::<Vec<_>>());
}

#[test]
fn unchanged_counters_are_not_sent() {
    let holder = holder(4_625, 0);
    assert!(
        pages(
            &mut PageCursor::new(PAGES_PER_ROUND),
            &holder,
            PAGES_PER_ROUND
        )
        .is_empty()
    );
}

#[test]
fn changes_during_a_round_do_not_lengthen_it() {
    let mut holder = holder(4_625, 200);
    let mut cursor = PageCursor::new(PAGES_PER_ROUND);
    pages(&mut cursor, &holder, 3);
    let peer = identity("vm-2");
    for index in 200..4_625 {
        holder.hand_over(&peer, &runner(index), 1, &FreeTokens);
    }
    // One page more than a round, since the last page of the current round is not full.
    let mut next = pages(&mut cursor, &holder, PAGES_PER_ROUND + 1);
    next.sort();
    next.dedup();
    assert_eq!(next.len(), 4_625);
}
