//! The state shared by all requests of callers.

use crate::callers::LinkShare;
use crate::callers::ReleaseQueue;
use crate::callers::ServiceQueues;
use sapphirestile_routing::RetryBudget;

/// The part of a retry that each request earns, in thousandths.
const RETRY_SHARE_MILLI: u32 = 100;
/// The maximum number of earned retries that are not spent yet.
const RETRIES_MAX: u32 = 50;

/// The queues, budgets and pending releases shared by all requests of callers.
#[derive(Debug)]
pub struct AdmissionState {
    /// Slots of attempts without a response, to be released later.
    pub pending_releases: ReleaseQueue,
    /// The requests that wait for a slot.
    pub queues: ServiceQueues,
    /// Limits retries to a tenth of the requests, so that retries cannot multiply the load.
    pub retry_budget: RetryBudget,
    /// This daemon's share of the link between regions.
    pub link_share: LinkShare,
}

impl Default for AdmissionState {
    fn default() -> Self {
        Self {
            pending_releases: ReleaseQueue::default(),
            queues: ServiceQueues::default(),
            retry_budget: RetryBudget::new(RETRY_SHARE_MILLI, RETRIES_MAX),
            link_share: LinkShare::default(),
        }
    }
}
