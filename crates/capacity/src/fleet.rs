//! Real daemons on stand-ins.
//!
//! A [`FleetRun`] starts three daemons and the stand-ins of one
//! [`FleetSize`]; a [`FleetWindow`] is what they spent in a while.

mod fleet_run;
mod fleet_size;
mod fleet_window;

use std::time::Duration;

use crate::CapacityOptions;
use crate::ResultTable;

use fleet_run::FleetRun;
use fleet_size::FleetSize;
use fleet_window::FleetWindow;

/// Workers and runners of each zone, and tasks of each worker.
const WITH_TASKS: [FleetSize; 3] = [
    FleetSize::real(4, 8),
    FleetSize::real(8, 8),
    FleetSize::real(16, 8),
];
/// Listed workers that share 48 stand-ins, without tasks.
const LISTED: [FleetSize; 4] = [
    FleetSize::listed(300),
    FleetSize::listed(900),
    FleetSize::listed(1_800),
    FleetSize::listed(8_700),
];

/// Runs three daemons at several sizes; the rows are means of the daemons.
///
/// # Panics
///
/// When a daemon does not start or a stand-in cannot be reached.
#[must_use]
pub fn fleet_rows(options: &CapacityOptions) -> ResultTable {
    let mut table = ResultTable::new(
        "Three daemons on stand-ins; processor, memory and threads are the mean of a daemon",
        &[
            "workers",
            "cells",
            "runners",
            "tasks",
            "phase",
            "milli-cores",
            "MB",
            "threads",
            "list, bytes/s",
            "reads/s x10",
            "commits/s x10",
            "watches/s x10",
            "sessions/s",
        ],
    );
    let length = Duration::from_secs(options.seconds);
    for (place, size) in WITH_TASKS.into_iter().chain(LISTED).enumerate() {
        let run = FleetRun::start(options, place, size);
        add_row(&mut table, size, "at rest", &run.watch(length));
        if size.tasks_per_worker > 0 {
            add_row(&mut table, size, "starting", &run.watch_starts());
            add_row(&mut table, size, "running", &run.watch(length));
        }
    }
    table
}

fn add_row(table: &mut ResultTable, size: FleetSize, phase: &str, window: &FleetWindow) {
    table.add(&[
        &size.workers(),
        &size.cells,
        &size.runners(),
        &size.tasks(),
        &phase,
        &window.milli_cores,
        &window.resident_mb,
        &window.threads,
        &window.list_bytes,
        &window.reads_tenths,
        &window.commits_tenths,
        &window.watches_tenths,
        &window.sessions,
    ]);
}
