//! A test double of a runner of a service.
//!
//! Every request other than `POST /faults` and `GET /counts` counts as a request of the
//! service. It occupies a [`RunnerSlot`] for the service time, and is answered with its own
//! body and its own `x-request-id`. When no slot is free, it is not run: the response has
//! status 503 and the header `x-not-run: true`, and the request is counted as an overrun.
//!
//! [`RunnerService`] handles the requests, `POST /faults` sets [`RunnerFaults`],
//! `GET /counts` returns [`RunnerCounts`], and [`RunnerStandin`] serves it on an address.

mod execution_count;
mod runner_counts;
mod runner_faults;
mod runner_inner;
mod runner_service;
mod runner_settings;
mod runner_slot;
mod runner_slots;
mod runner_standin;

pub use execution_count::ExecutionCount;
pub use runner_counts::RunnerCounts;
pub use runner_faults::RunnerFaults;
pub use runner_service::RunnerService;
pub use runner_settings::RunnerSettings;
pub use runner_slot::RunnerSlot;
pub use runner_slots::RunnerSlots;
pub use runner_standin::RunnerStandin;
