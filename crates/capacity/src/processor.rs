//! Processor time of decisions and codecs.

mod cell_times;
mod ended_times;
mod frame_times;
mod list_times;
mod recovery_times;
mod route_times;
mod start_times;
mod token_times;
mod worker_times;

use crate::ResultTable;

/// Processor time of each role's steps: the median of `rounds` repetitions, with
/// the least and the most.
#[must_use]
pub fn processor_times(rounds: usize) -> Vec<ResultTable> {
    vec![
        cell_times::cell_times(rounds),
        ended_times::ended_times(rounds),
        recovery_times::recovery_times(rounds),
        list_times::list_times(rounds),
        route_times::route_times(rounds),
        token_times::token_times(rounds),
        frame_times::frame_times(rounds),
        worker_times::worker_times(rounds),
    ]
}
