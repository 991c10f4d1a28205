//! Configuration of a queue.

use crate::advice::AdvisorTiming;
use crate::spec::QueueTerms;

/// Configuration of a queue: which requests are routed to it, and how its jobs run.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Name of the queue, unique in the configuration.
    pub name: Box<str>,
    /// Host name of requests for the queue, with or without a port.
    pub host: Box<str>,
    /// Path prefix of requests for the queue.
    pub prefix: Box<str>,
    /// Service, priority and attempts for jobs of the queue.
    pub terms: QueueTerms,
    /// Part of the completion objective of a job that grows with its work, as a multiple of
    /// its critical path.
    pub stretch: f64,
    /// Constant part of the completion objective, in milliseconds.
    pub base_objective_ms: u64,
    /// Timing of the advisor that decides which workers may run a step; `None` if any
    /// worker of the service may.
    pub advice: Option<AdvisorTiming>,
}
