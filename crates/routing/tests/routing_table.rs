//! Tests of the choice of a runner.

use std::sync::Arc;

use sapphirestile_core::MonoTime;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_routing::GaugeRegistry;
use sapphirestile_routing::PublishedTable;
use sapphirestile_routing::RouteQuery;
use sapphirestile_routing::RouteReach;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_routing::RoutingTable;
use sapphirestile_routing::RunnerRow;
use sapphirestile_routing::RunnerState;

const DOCUMENT: &str = "[region near]\nlink_mbit = 1\n[region far]\nlink_mbit = 1\n\
    [zone a]\nregion = near\nstate = in\n[zone b]\nregion = near\nstate = in\n\
    [zone c]\nregion = far\nstate = in\n[zone out]\nregion = near\nstate = out\n";

fn document() -> OperatorDocument {
    OperatorDocument::try_from(DOCUMENT).unwrap()
}

fn row(registry: &mut GaugeRegistry, runner: &str, zone: &str) -> RunnerRow {
    let runner = RunnerName::try_from(runner).unwrap();
    RunnerRow {
        gauge: registry.gauge_of(&runner),
        runner,
        zone: ZoneName::try_from(zone).unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        service: ServiceName::try_from("sizing").unwrap(),
        leaving: false,
    }
}

fn row_with(registry: &mut GaugeRegistry, runner: &str, zone: &str, tokens: u32) -> RunnerRow {
    let row = row(registry, runner, zone);
    row.gauge.add_tokens(tokens);
    row
}

fn query(random: u64) -> RouteQuery<'static> {
    RouteQuery {
        service: "sizing",
        avoid: None,
        now: MonoTime::from_millis(0),
        deadline: MonoTime::from_millis(100),
        random,
    }
}

#[test]
fn remote_runners_are_used_only_when_the_own_region_is_full() {
    let mut registry = GaugeRegistry::default();
    let rows = vec![
        row_with(&mut registry, "a-1", "a", 1),
        row_with(&mut registry, "b-1", "b", 1),
        row_with(&mut registry, "c-1", "c", 1),
    ];
    let table = RoutingTable::new(&document(), "a", rows);
    let first = table.choose(&query(1)).unwrap();
    let second = table.choose(&query(2)).unwrap();
    let third = table.choose(&query(3)).unwrap();
    let mut near = [first.reach(), second.reach()];
    near.sort();
    assert_eq!(near, [RouteReach::Zone, RouteReach::Region]);
    assert_eq!(third.reach(), RouteReach::Remote);
    assert_eq!(table.choose(&query(4)).unwrap_err(), RouteRefusal::NoSlot);
    drop(second);
    assert_ne!(table.choose(&query(5)).unwrap().reach(), RouteReach::Remote);
}

#[test]
fn leaving_runners_and_zones_out_of_service_get_no_requests() {
    let mut registry = GaugeRegistry::default();
    let mut leaving = row_with(&mut registry, "a-1", "a", 8);
    leaving.leaving = true;
    let out_of_service = row_with(&mut registry, "out-1", "out", 8);
    let table = RoutingTable::new(&document(), "a", vec![leaving, out_of_service]);
    for random in 0..64 {
        let refusal = table.choose(&query(random)).unwrap_err();
        assert_eq!(refusal, RouteRefusal::NoRunner);
    }
}

#[test]
fn a_passed_deadline_and_an_unknown_service_are_refused() {
    let table = RoutingTable::default();
    let mut late = query(1);
    late.now = late.deadline;
    assert_eq!(
        table.choose(&late).unwrap_err(),
        RouteRefusal::DeadlinePassed
    );
    assert_eq!(
        table.choose(&query(1)).unwrap_err(),
        RouteRefusal::NoService
    );
}

#[test]
fn ejected_and_avoided_runners_are_not_chosen() {
    let mut registry = GaugeRegistry::default();
    let rows = vec![
        row_with(&mut registry, "a-1", "a", 8),
        row_with(&mut registry, "a-2", "a", 8),
        row_with(&mut registry, "a-3", "a", 8),
    ];
    rows[0].gauge.set_state(RunnerState::Ejected);
    let table = RoutingTable::new(&document(), "a", rows);
    for random in 0..64 {
        let query = RouteQuery {
            avoid: Some("a-2"),
            ..query(random)
        };
        let choice = table.choose(&query).unwrap();
        assert_eq!(choice.row().runner.as_str(), "a-3");
    }
}

#[test]
fn a_runner_on_trial_gets_one_request_at_a_time() {
    let mut registry = GaugeRegistry::default();
    let rows = vec![row_with(&mut registry, "a-1", "a", 8)];
    rows[0].gauge.set_state(RunnerState::Trial);
    let table = RoutingTable::new(&document(), "a", rows);
    let first = table.choose(&query(1)).unwrap();
    assert_eq!(table.choose(&query(2)).unwrap_err(), RouteRefusal::NoSlot);
    drop(first);
    assert!(table.choose(&query(3)).is_ok());
}

#[test]
fn a_slow_or_loaded_runner_gets_fewer_requests() {
    let mut registry = GaugeRegistry::default();
    let rows = vec![
        row_with(&mut registry, "fast", "a", 8),
        row_with(&mut registry, "slow", "a", 8),
    ];
    rows[0].gauge.record_answer(1_000);
    rows[1].gauge.record_answer(9_000);
    let table = RoutingTable::new(&document(), "a", rows);
    let chosen_fast =
        |random| table.choose(&query(random)).unwrap().row().runner.as_str() == "fast";
    let fast = (0..1_000).filter(|random| chosen_fast(*random)).count();
    // The slow runner is chosen only when both draws hit it, in a quarter of the cases.
    assert!(
        (700..800).contains(&fast),
        "{fast} of 1000 went to the fast runner"
    );
    let held = (0..6)
        .map(|_| assert!(take_slot_of(&mut registry, "fast")))
        .count();
    assert_eq!(held, 6);
    let fast = (0..1_000).filter(|random| chosen_fast(*random)).count();
    assert!(
        (200..300).contains(&fast),
        "{fast} of 1000 went to the loaded runner"
    );
}

fn take_slot_of(registry: &mut GaugeRegistry, runner: &str) -> bool {
    let runner = RunnerName::try_from(runner).unwrap();
    registry.gauge_of(&runner).take_slot()
}

#[test]
fn gauges_and_taken_slots_are_kept_when_the_table_is_replaced() {
    let mut registry = GaugeRegistry::default();
    let table = PublishedTable::default();
    let rows = vec![row_with(&mut registry, "a-1", "a", 1)];
    table.publish(RoutingTable::new(&document(), "a", rows));
    let choice = table.load().choose(&query(1)).unwrap();
    let rows = vec![row(&mut registry, "a-1", "a")];
    table.publish(RoutingTable::new(&document(), "a", rows));
    assert_eq!(
        table.load().choose(&query(2)).unwrap_err(),
        RouteRefusal::NoSlot
    );
    drop(choice);
    assert!(table.load().choose(&query(3)).is_ok());
}

#[test]
fn concurrent_choices_stay_within_the_tokens_and_release_all_slots() {
    let mut registry = GaugeRegistry::default();
    let rows = (0..4)
        .map(|index| row_with(&mut registry, &format!("a-{index}"), "a", 2))
        .collect();
    let table = Arc::new(RoutingTable::new(&document(), "a", rows));
    let threads = (0..4_u64).map(|seed| {
        let table = Arc::clone(&table);
        std::thread::spawn(move || {
            let mut held = std::collections::VecDeque::new();
            for step in 0..20_000 {
                held.extend(table.choose(&query(seed << 32 | step)));
                if held.len() > 2 {
                    held.pop_front();
                }
            }
        })
    });
    for thread in threads.collect::<Vec<_>>() {
        thread.join().unwrap();
    }
    assert!(table.rows().all(|row| row.gauge.occupancy() == (2, 0)));
}
