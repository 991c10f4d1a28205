//! The traffic of each service.

use std::sync::Arc;

use crate::context::RcuValue;
use sapphirestile_core::ServiceName;
use sapphirestile_core::SortedTable;
use sapphirestile_routing::ServiceTraffic;

/// The traffic counters of each service, read without a lock.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::ServiceName;
/// use sapphirestile_daemon::callers::TrafficTable;
///
/// let service = ServiceName::try_from("sizing").unwrap();
/// let table = TrafficTable::default();
/// table.of(&service).begin_waiting();
/// assert_eq!(table.of(&service).waiting(), 1);
/// ```
#[derive(Debug, Default)]
pub struct TrafficTable {
    rows: RcuValue<SortedTable<ServiceName, Arc<ServiceTraffic>>>,
}

impl TrafficTable {
    /// The counters of `service`, which are created on first use.
    #[must_use]
    pub fn of(&self, service: &ServiceName) -> Arc<ServiceTraffic> {
        if let Some(traffic) = self.rows.load().get(service.as_str()) {
            return Arc::clone(traffic);
        }
        self.rows.update(|rows| {
            let mut rows = rows.clone();
            rows.get_or_insert_with(service.clone(), Default::default);
            rows
        });
        self.rows
            .load()
            .get(service.as_str())
            .map_or_else(Default::default, Arc::clone)
    }

    /// The counters of every service, by name.
    #[must_use]
    pub fn rows(&self) -> Arc<SortedTable<ServiceName, Arc<ServiceTraffic>>> {
        self.rows.load_full()
    }
}
