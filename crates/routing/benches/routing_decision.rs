//! Prints the time of a routing decision, in nanoseconds.
//!
//! `cargo bench -p sapphirestile-routing --bench routing_decision`

use std::hint::black_box;
use std::sync::Arc;
use std::sync::Barrier;
use std::time::Instant;

use sapphirestile_core::MonoTime;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_routing::RouteQuery;
use sapphirestile_routing::RoutingTable;
use sapphirestile_routing::RunnerGauge;
use sapphirestile_routing::RunnerRow;
use sapphirestile_routing::TableCell;

const DOCUMENT: &str = "[region near]\nlink_mbit = 1\n[region far]\nlink_mbit = 1\n\
    [zone a]\nregion = near\nstate = in\n[zone b]\nregion = near\nstate = in\n\
    [zone c]\nregion = far\nstate = in\n";
const ZONES: [&str; 3] = ["a", "b", "c"];
const DECISIONS: u64 = 2_000_000;
const ROUNDS: usize = 5;
const FULL_TOKENS: u32 = 8;

fn row(index: usize, tokens: u32) -> RunnerRow {
    let gauge = Arc::new(RunnerGauge::new());
    gauge.add_tokens(tokens);
    gauge.record_answer(1_000 + (index as u64 * 37) % 500);
    RunnerRow {
        runner: RunnerName::try_from(format!("runner-{index}")).unwrap(),
        zone: ZoneName::try_from(ZONES[index % ZONES.len()]).unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        service: ServiceName::try_from("sizing").unwrap(),
        leaving: false,
        gauge,
    }
}

/// One in `busy_divisor` rows has tokens; the others are full.
fn cell(runners: usize, busy_divisor: usize) -> TableCell {
    let document = OperatorDocument::try_from(DOCUMENT).unwrap();
    let tokens = |index: usize| {
        let free = index.is_multiple_of(busy_divisor);
        if free { FULL_TOKENS } else { 0 }
    };
    let rows = (0..runners).map(|index| row(index, tokens(index)));
    let cell = TableCell::default();
    cell.publish(RoutingTable::new(&document, "a", rows.collect()));
    cell
}

fn decide(cell: &TableCell, thread: u64) -> u64 {
    let mut chosen = 0;
    for step in 0..DECISIONS {
        let query = RouteQuery {
            service: "sizing",
            avoid: None,
            now: MonoTime::from_millis(0),
            deadline: MonoTime::from_millis(100),
            random: (thread << 40 | step).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        let choice = cell.load().choose(black_box(&query));
        chosen += u64::from(choice.is_ok());
    }
    chosen
}

/// Nanoseconds a decision on one thread, with `threads` at work, and how many of
/// a thousand decisions found a runner.
fn round(cell: &Arc<TableCell>, threads: u64) -> (u128, u64) {
    let barrier = Arc::new(Barrier::new(usize::try_from(threads).unwrap()));
    let run = |thread| {
        let (cell, barrier) = (Arc::clone(cell), Arc::clone(&barrier));
        std::thread::spawn(move || {
            barrier.wait();
            let begin = Instant::now();
            let chosen = decide(&cell, thread);
            (begin.elapsed().as_nanos(), chosen)
        })
    };
    let handles = (0..threads).map(run).collect::<Vec<_>>();
    let results = handles.into_iter().map(|handle| handle.join().unwrap());
    let (nanos, chosen) = results.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let decisions = threads * DECISIONS;
    (nanos / u128::from(decisions), chosen * 1_000 / decisions)
}

fn main() {
    println!("runners  free rows  threads  ns a decision (least, median, most)  chosen of 1000");
    for (runners, busy_divisor) in [(48, 1), (2_000, 1), (48, 16), (2_000, 16)] {
        for threads in [1, 4, 8] {
            let cell = Arc::new(cell(runners, busy_divisor));
            let mut rounds = (0..ROUNDS)
                .map(|_| round(&cell, threads))
                .collect::<Vec<_>>();
            rounds.sort_unstable();
            let (least, _) = rounds[0];
            let (median, chosen) = rounds[ROUNDS / 2];
            let (most, _) = rounds[ROUNDS - 1];
            println!(
                "{runners:>7}  {:>9}  {threads:>7}  {least:>6} {median:>6} {most:>6}  {chosen:>4}",
                format!("1 in {busy_divisor}"),
            );
        }
    }
}
