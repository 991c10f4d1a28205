//! What requests suffer from batch tasks on the same machine.
//!
//! A [`SlowdownObserver`] measures every few seconds by how much the requests
//! on each runner were slowed, looks up the worker beside it in the list of
//! VMs, and adds up the runners beside one worker in a [`WorkerSum`]. A
//! [`SlowdownSender`] tells the owners of the workers' cells.

mod slowdown_observer;
mod slowdown_sender;
mod worker_sum;

pub use slowdown_observer::SlowdownObserver;
pub use slowdown_sender::SlowdownSender;
pub use worker_sum::WorkerSum;
