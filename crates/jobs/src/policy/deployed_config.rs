//! The deployed configuration.

use crate::policy::CallerLimits;
use crate::policy::QueuePolicy;
use crate::policy::RouteMatch;
use crate::policy::ServicePolicy;
use sapphirestile_core::SortedTable;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeployedConfig {
    /// Version number; later versions have higher ones.
    pub version: u64,
    /// Queues by name.
    pub queues: SortedTable<Box<str>, QueuePolicy>,
    /// Services by name.
    pub services: SortedTable<Box<str>, ServicePolicy>,
    /// Limits for requests of callers.
    pub limits: CallerLimits,
}

impl DeployedConfig {
    /// Finds the queue for a request: among the queues of the host, the one with the
    /// longest prefix of the path. A port in `host` is ignored unless the queue names it.
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
