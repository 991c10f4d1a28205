//! Resource usage of real daemons that run against stand-ins.
//!
//! A [`FleetRun`] starts three daemons and the stand-ins of one [`FleetSize`]; a
//! [`FleetUsage`] holds the usage that was measured over an interval.

mod fleet_run;
mod fleet_size;
mod fleet_usage;

use std::time::Duration;

use crate::CapacityOptions;
use crate::ResultTable;

use fleet_run::FleetRun;
use fleet_size::FleetSize;
use fleet_usage::FleetUsage;

/// Workers and runners of each zone, and tasks of each worker; every worker has its own
/// stand-in.
const SIZES_WITH_TASKS: [FleetSize; 3] = [
    FleetSize::dedicated(4, 8),
    FleetSize::dedicated(8, 8),
    FleetSize::dedicated(16, 8),
];
/// Numbers of listed workers, which share 48 stand-ins and run no tasks.
const SIZES_WITHOUT_TASKS: [FleetSize; 4] = [
    FleetSize::shared(300),
    FleetSize::shared(900),
    FleetSize::shared(1_800),
    FleetSize::shared(8_700),
];

/// Runs three daemons at several fleet sizes, and returns a row for each size and phase.
/// Processor time, memory, threads and list bytes are the mean over the daemons; store
/// calls are those of all daemons together.
///
/// # Panics
///
/// When a daemon does not start, a stand-in cannot be reached, or the fleet does not reach
/// the expected state in time.
#[must_use]
pub fn measure_fleet(options: &CapacityOptions) -> ResultTable {
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
    let duration = Duration::from_secs(options.seconds);
    for (index, size) in SIZES_WITH_TASKS
        .into_iter()
        .chain(SIZES_WITHOUT_TASKS)
        .enumerate()
    {
        let run = FleetRun::start(options, index, size);
        add_usage(&mut table, size, "at rest", &run.measure(duration));
        if size.tasks_per_worker > 0 {
            add_usage(&mut table, size, "starting", &run.measure_starts());
            add_usage(&mut table, size, "running", &run.measure(duration));
        }
    }
    table
}

fn add_usage(table: &mut ResultTable, size: FleetSize, phase: &str, usage: &FleetUsage) {
    table.add(&[
        &size.workers(),
        &size.cells,
        &size.runners(),
        &size.tasks(),
        &phase,
        &usage.milli_cores,
        &usage.resident_mb,
        &usage.threads,
        &usage.list_bytes_per_s,
        &usage.store_reads_per_10s,
        &usage.store_commits_per_10s,
        &usage.store_watches_per_10s,
        &usage.sessions_per_s,
    ]);
}
