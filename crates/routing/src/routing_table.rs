//! The table by which requests are routed.

use std::sync::Arc;

use crate::RouteChoice;
use crate::RouteQuery;
use crate::RouteReach;
use crate::RouteRefusal;
use crate::RunnerRow;
use crate::service_pool::ServicePool;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::SortedTable;

/// All runners, and for each service the runners that take work, by distance.
///
/// A table is immutable; a [`PublishedTable`](crate::PublishedTable) replaces it as a
/// whole.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_core::OperatorDocument;
/// use sapphirestile_core::RunnerName;
/// use sapphirestile_core::ServiceName;
/// use sapphirestile_core::ZoneName;
/// use sapphirestile_routing::RouteQuery;
/// use sapphirestile_routing::RouteRefusal;
/// use sapphirestile_routing::RoutingTable;
/// use sapphirestile_routing::RunnerGauge;
/// use sapphirestile_routing::RunnerRow;
///
/// let text = "[region r]\nlink_mbit = 1\n[zone a]\nregion = r\nstate = in\n";
/// let document = OperatorDocument::try_from(text).unwrap();
/// let gauge = Arc::new(RunnerGauge::new());
/// gauge.add_tokens(1);
/// let row = RunnerRow {
///     runner: RunnerName::try_from("runner-1").unwrap(),
///     zone: ZoneName::try_from("a").unwrap(),
///     address: "127.0.0.1:8080".parse().unwrap(),
///     service: ServiceName::try_from("sizing").unwrap(),
///     leaving: false,
///     gauge,
/// };
/// let table = RoutingTable::new(&document, "a", vec![row]);
/// let query = RouteQuery {
///     service: "sizing",
///     avoid: None,
///     now: MonoTime::from_millis(0),
///     deadline: MonoTime::from_millis(100),
///     random: 7,
/// };
/// let choice = table.choose(&query).unwrap();
/// assert_eq!(choice.row().runner.as_str(), "runner-1");
/// assert_eq!(table.choose(&query).unwrap_err(), RouteRefusal::NoSlot);
/// ```
#[derive(Debug, Default)]
pub struct RoutingTable {
    rows: SortedTable<RunnerName, Arc<RunnerRow>>,
    pools: SortedTable<ServiceName, ServicePool>,
}

impl RoutingTable {
    /// A table of `rows` for a daemon in the zone `home`.
    #[must_use]
    pub fn new(document: &OperatorDocument, home: &str, rows: Vec<RunnerRow>) -> Self {
        let rows = rows
            .into_iter()
            .map(|row| (row.runner.clone(), Arc::new(row)))
            .collect::<SortedTable<_, _>>();
        let mut pools = SortedTable::<ServiceName, ServicePool>::new();
        for row in rows.values() {
            let pool = pools.get_or_insert_with(row.service.clone(), ServicePool::default);
            if takes_work(document, row) {
                pool.add(Arc::clone(row), reach_of(document, home, row));
            }
        }
        Self { rows, pools }
    }

    /// Chooses a runner and takes a slot on it.
    ///
    /// The better of two randomly drawn runners is tried. Runners in other regions are
    /// used only if no slot was found in the daemon's own region. The cost does not grow
    /// with the number of runners.
    ///
    /// # Errors
    ///
    /// A [`RouteRefusal`] with the reason why no runner was chosen.
    pub fn choose(&self, query: &RouteQuery<'_>) -> Result<RouteChoice, RouteRefusal> {
        if query.now >= query.deadline {
            return Err(RouteRefusal::DeadlinePassed);
        }
        let pool = self.pools.get(query.service);
        pool.ok_or(RouteRefusal::NoService)?.choose(query)
    }

    /// The row of `runner`, whether or not it takes work.
    #[must_use]
    pub fn row(&self, runner: &str) -> Option<&RunnerRow> {
        self.rows.get(runner).map(Arc::as_ref)
    }

    /// All rows in the order of runner names.
    #[must_use]
    pub fn rows(&self) -> impl ExactSizeIterator<Item = &RunnerRow> {
        self.rows.values().map(Arc::as_ref)
    }
}

fn takes_work(document: &OperatorDocument, row: &RunnerRow) -> bool {
    !row.leaving && document.zone_takes_work(row.zone.as_str())
}

fn reach_of(document: &OperatorDocument, home: &str, row: &RunnerRow) -> RouteReach {
    if row.zone.as_str() == home {
        return RouteReach::Zone;
    }
    let region_of = |zone| document.zones.get(zone).map(|entry| &entry.region);
    if region_of(row.zone.as_str()) == region_of(home) {
        RouteReach::Region
    } else {
        RouteReach::Remote
    }
}
