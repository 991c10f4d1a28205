//! The configuration in force.

use crate::policy::CallerLimits;
use crate::policy::QueuePolicy;
use crate::policy::RouteMatch;
use crate::policy::ServicePolicy;
use sapphirestile_core::SortedTable;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeployedConfig {
    /// The version; a later one is higher.
    pub version: u64,
    /// The queues by name.
    pub queues: SortedTable<Box<str>, QueuePolicy>,
    /// The services by name.
    pub services: SortedTable<Box<str>, ServicePolicy>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl DeployedConfig {
    /// The queue that a request reaches: of those of its host, the one whose
    /// prefix is the longest that the path begins with.
    #[must_use]
    pub fn find_route<'a>(&'a self, host: &str, path: &'a str) -> Option<RouteMatch<'a>> {
        let name = host.split_once(':').map_or(host, |(name, _port)| name);
        self.queues
            .values()
            .filter(|queue| *queue.host == *name || *queue.host == *host)
            .filter_map(|queue| {
                let rest = path.strip_prefix(&*queue.prefix)?;
                Some(RouteMatch { queue, rest })
            })
            .max_by_key(|route| route.queue.prefix.len())
    }
}
