//! The state shared by all requests of callers.

use crate::callers::LinkShare;
use crate::callers::ReleaseQueue;
use crate::callers::ServiceQueues;
use sapphirestile_routing::RetryBudget;

const RETRY_SHARE_MILLI: u32 = 100;
const RETRIES_MAX: u32 = 50;

/// The queues, budgets and pending releases shared by all requests of callers.
#[derive(Debug)]
pub struct AdmissionState {
    /// Slots of attempts without a response, to be released later.
    pub pending_releases: ReleaseQueue,
    /// The requests that wait for a slot.
    pub queues: ServiceQueues,
    /// Limits retries to a share of the traffic.
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
