//! Measures the time of a routing decision, in nanoseconds.
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
use sapphirestile_routing::PublishedTable;
use sapphirestile_routing::RouteQuery;
use sapphirestile_routing::RoutingTable;
use sapphirestile_routing::RunnerGauge;
use sapphirestile_routing::RunnerRow;

const DOCUMENT: &str = "[region near]\nlink_mbit = 1\n[region far]\nlink_mbit = 1\n\
    [zone a]\nregion = near\nstate = in\n[zone b]\nregion = near\nstate = in\n\
    [zone c]\nregion = far\nstate = in\n";
const ZONES: [&str; 3] = ["a", "b", "c"];
const DECISIONS_PER_THREAD: u64 = 2_000_000;
const ROUNDS: usize = 5;
const TOKENS_PER_RUNNER: u32 = 8;

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

/// A table in which one in `free_divisor` runners has free tokens and the others have none.
fn published_table(runners: usize, free_divisor: usize) -> PublishedTable {
    let document = OperatorDocument::try_from(DOCUMENT).unwrap();
    let tokens = |index: usize| {
        let is_free = index.is_multiple_of(free_divisor);
        if is_free { TOKENS_PER_RUNNER } else { 0 }
    };
    let rows = (0..runners).map(|index| row(index, tokens(index)));
    let table = PublishedTable::default();
    table.publish(RoutingTable::new(&document, "a", rows.collect()));
    table
}

fn decide(table: &PublishedTable, thread: u64) -> u64 {
    let mut chosen = 0;
    for step in 0..DECISIONS_PER_THREAD {
        let query = RouteQuery {
            service: "sizing",
            avoid: None,
            now: MonoTime::from_millis(0),
            deadline: MonoTime::from_millis(100),
            random: (thread << 40 | step).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        let choice = table.load().choose(black_box(&query));
        chosen += u64::from(choice.is_ok());
    }
    chosen
}

/// The mean time of a decision on one of `threads` concurrent threads, in nanoseconds,
/// and how many of 1,000 decisions found a runner.
fn measure_round(table: &Arc<PublishedTable>, threads: u64) -> (u128, u64) {
    let barrier = Arc::new(Barrier::new(usize::try_from(threads).unwrap()));
    let run = |thread| {
        let (table, barrier) = (Arc::clone(table), Arc::clone(&barrier));
        std::thread::spawn(move || {
            barrier.wait();
            let start = Instant::now();
            let chosen = decide(&table, thread);
            (start.elapsed().as_nanos(), chosen)
        })
    };
    let handles = (0..threads).map(run).collect::<Vec<_>>();
    let results = handles.into_iter().map(|handle| handle.join().unwrap());
    let (nanos, chosen) = results.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let decisions = threads * DECISIONS_PER_THREAD;
    (nanos / u128::from(decisions), chosen * 1_000 / decisions)
}

fn main() {
    println!("runners  free rows  threads  ns per decision (min, median, max)  chosen of 1000");
    for (runners, free_divisor) in [(48, 1), (2_000, 1), (48, 16), (2_000, 16)] {
        for threads in [1, 4, 8] {
            let table = Arc::new(published_table(runners, free_divisor));
            let mut rounds = (0..ROUNDS)
                .map(|_| measure_round(&table, threads))
                .collect::<Vec<_>>();
            rounds.sort_unstable();
            let (minimum, _) = rounds[0];
            let (median, chosen) = rounds[ROUNDS / 2];
            let (maximum, _) = rounds[ROUNDS - 1];
            println!(
                "{runners:>7}  {:>9}  {threads:>7}  {minimum:>6} {median:>6} {maximum:>6}  {chosen:>4}",
                format!("1 in {free_divisor}"),
            );
        }
    }
}
