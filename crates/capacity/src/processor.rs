//! Processor time of decisions and codecs, measured on this machine.

mod cell_times;
mod ended_times;
mod frame_times;
mod recovery_times;
mod route_times;
mod start_times;
mod token_times;
mod vm_list_times;
mod worker_times;

use crate::ResultTable;

/// Measures the steps of each role, and returns the median, minimum and maximum of `rounds`
/// repetitions.
///
/// # Panics
///
/// When `rounds` is zero, or a stand-in of the store cannot be started.
#[must_use]
pub fn processor_times(rounds: usize) -> Vec<ResultTable> {
    vec![
        cell_times::cell_times(rounds),
        ended_times::ended_times(rounds),
        recovery_times::recovery_times(rounds),
        vm_list_times::vm_list_times(rounds),
        route_times::route_times(rounds),
        token_times::token_times(rounds),
        frame_times::frame_times(rounds),
        worker_times::worker_times(rounds),
    ]
}
