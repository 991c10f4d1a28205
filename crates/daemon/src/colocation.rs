//! Measurement of how much batch tasks slow down requests on the same machine.
//!
//! A [`SlowdownObserver`] measures at a fixed interval by how much the requests on each
//! runner were slowed, and looks up the worker on the same machine in the list of VMs. A
//! [`SlowdownSum`] combines all runners that share a machine with one worker. A
//! [`SlowdownSender`] sends the results to the owners of the workers' cells.

mod slowdown_observer;
mod slowdown_sender;
mod slowdown_sum;

pub use slowdown_observer::SlowdownObserver;
pub use slowdown_sender::SlowdownSender;
pub use slowdown_sum::SlowdownSum;
