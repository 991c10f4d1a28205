//! One queue.

use crate::advice::AdviceTerms;
use crate::order::QueueTerms;

/// A queue of jobs, and which requests reach it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// The name.
    pub name: Box<str>,
    /// The host that requests name.
    pub host: Box<str>,
    /// What the path of a request begins with.
    pub prefix: Box<str>,
    /// Who runs its tasks, when, and how often.
    pub terms: QueueTerms,
    /// A job should take this many times its longest chain of work.
    pub stretch: f64,
    /// And this much longer, in milliseconds.
    pub slack_ms: u64,
    /// Who may run its steps, where an advisor has a say in that.
    pub advice: Option<AdviceTerms>,
}
