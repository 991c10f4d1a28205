//! The stand-in of a runner of a service.
//!
//! Every path but `POST /faults` and `GET /counts` is a request of the service:
//! it takes a [`RunnerSlot`], waits for the service time and answers the body
//! it was given with the number of the request. Without a free slot it answers
//! status 503 with `x-not-run: true` and counts the overrun. [`RunnerService`]
//! answers calls, with [`RunnerFaults`] on request, counts in [`RunnerCounts`],
//! and [`RunnerStandin`] serves.

mod execution_count;
mod runner_counts;
mod runner_faults;
mod runner_service;
mod runner_settings;
mod runner_slot;
mod runner_slots;
mod runner_standin;
mod served_runner;

pub use execution_count::ExecutionCount;
pub use runner_counts::RunnerCounts;
pub use runner_faults::RunnerFaults;
pub use runner_service::RunnerService;
pub use runner_settings::RunnerSettings;
pub use runner_slot::RunnerSlot;
pub use runner_slots::RunnerSlots;
pub use runner_standin::RunnerStandin;
