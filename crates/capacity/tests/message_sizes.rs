//! Sizes of messages, and the threads of sessions.

use sapphirestile_capacity::CapacityPart;
use sapphirestile_capacity::ResultTable;
use sapphirestile_capacity::SessionLoad;
use sapphirestile_capacity::SizeScale;
use sapphirestile_capacity::message_sizes;
use sapphirestile_capacity::steady_bytes;

#[test]
fn messages_have_the_sizes_of_the_page() {
    let tables = message_sizes(SizeScale::Smallest);
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
fn a_busy_worker_stays_far_below_its_bytes() {
    let rows = steady_bytes().to_string();
    let busy = rows.lines().find(|row| row.starts_with("| 22 | changes"));
    assert_eq!(
        busy,
        Some("| 22 | changes | never | 215 | 266 | 481 | 4252 |")
    );
}

#[test]
fn silent_workers_take_the_threads_of_the_others_only_once() {
    let quiet = SessionLoad {
        workers: 48,
        silent: 0,
        round_trip_ms: 16,
        timeout_ms: 1_500,
        threads: 16,
        silent_threads: 4,
    };
    assert_eq!((quiet.interval_ms(), quiet.onset_ms()), (1_000, 1_000));
    let rack = SessionLoad {
        silent: 40,
        workers: 1_243,
        ..quiet
    };
    assert_eq!((rack.busy_ms(), rack.interval_ms()), (19_248, 1_203));
    assert_eq!(
        (rack.silent_interval_ms(), rack.onset_ms()),
        (16_000, 4_953)
    );
}

#[test]
fn an_unknown_part_is_refused() {
    assert_eq!(
        CapacityPart::try_from("speed"),
        Err("expected messages, processor, memory, sessions or fleet")
    );
}
