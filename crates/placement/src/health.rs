//! Detection of faulty workers and faulty jobs.
//!
//! A [`FailureHistory`] receives the outcome of each attempt. Failures of several
//! different jobs on one worker, without a success in between, indicate a faulty
//! worker; failures of one job on several workers indicate a faulty job. The
//! result is a [`FailureVerdict`]. The state of a worker is a [`WorkerHealth`],
//! which wraps the phases of a [`HealthCycle`]: healthy, quarantined, on probation
//! with one task at a time, and healthy again. Failed tasks are retried after
//! [`retry_delay_ms`].

mod failure_history;
mod failure_record;
mod failure_verdict;
mod health_cycle;
mod healthy_phase;
mod probation_phase;
mod quarantined_phase;
mod retry_delay;
mod worker_health;

pub use failure_history::FailureHistory;
pub use failure_record::FailureRecord;
pub use failure_verdict::FailureVerdict;
pub use health_cycle::HealthCycle;
pub use healthy_phase::HealthyPhase;
pub use probation_phase::ProbationPhase;
pub use quarantined_phase::QuarantinedPhase;
pub use retry_delay::retry_delay_ms;
pub use worker_health::WorkerHealth;
