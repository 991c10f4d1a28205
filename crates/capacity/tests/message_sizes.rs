//! Guards the documented message sizes and session loads against unnoticed changes.

use sapphirestile_capacity::CapacityPart;
use sapphirestile_capacity::ResultTable;
use sapphirestile_capacity::SessionLoad;
use sapphirestile_capacity::SizeSelection;
use sapphirestile_capacity::busy_worker_bytes;
use sapphirestile_capacity::message_sizes;

#[test]
fn smallest_messages_have_the_documented_sizes() {
    let tables = message_sizes(SizeSelection::Smallest);
    let last_row = |table: &ResultTable| table.to_string().lines().last().map(str::to_owned);
    let rows: Vec<String> = tables.iter().filter_map(last_row).collect();
    assert_eq!(
        rows,
        [
            "| 1 | 65 |",
            "| 48 | 115 | 246 | 1 | 246 |",
            "| 1 | 75 |",
            "| 48 | 1809 |",
            "| 1 | 69 |",
            "| 300 | 0 | 0 | 14286 |",
            "| 1 | 2 | 43 | 5 | 205 |",
            "| 1 | 30 | 57 | 38 |",
            "| 5 | 5 | 1832 | 5224 |",
            "| 500 | 100081 | 4247 |",
            "| 1 | 46 | 114 | 308 |",
        ]
    );
}

#[test]
fn busy_worker_exchanges_the_documented_bytes() {
    let rows = busy_worker_bytes().to_string();
    let busy = rows.lines().find(|row| row.starts_with("| 22 | changes"));
    assert_eq!(
        busy,
        Some("| 22 | changes | never | 215 | 266 | 481 | 4252 |")
    );
}

#[test]
fn silent_workers_occupy_shared_threads_only_in_their_first_round() {
    let all_answering = SessionLoad {
        workers: 48,
        silent_workers: 0,
        round_trip_ms: 16,
        timeout_ms: 1_500,
        threads: 16,
        silent_threads: 4,
    };
    assert_eq!(
        (
            all_answering.interval_ms(),
            all_answering.first_silent_round_ms()
        ),
        (1_000, 1_000)
    );
    let rack_silent = SessionLoad {
        silent_workers: 40,
        workers: 1_243,
        ..all_answering
    };
    assert_eq!(
        (rack_silent.thread_time_ms(), rack_silent.interval_ms()),
        (19_248, 1_203)
    );
    assert_eq!(
        (
            rack_silent.silent_interval_ms(),
            rack_silent.first_silent_round_ms()
        ),
        (16_000, 4_953)
    );
}

#[test]
fn unknown_part_is_rejected() {
    assert_eq!(
        CapacityPart::try_from("speed"),
        Err("expected messages, processor, memory, sessions or fleet")
    );
}
