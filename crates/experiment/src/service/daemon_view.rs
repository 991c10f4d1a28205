//! One daemon's table of runners.

use std::fmt::Write;
use std::sync::Arc;

use crate::DeploymentPlan;
use crate::RoutingMode;
use crate::plan::SLOTS_PER_RUNNER;
use crate::plan::WORKER_COUNT;
use sapphirestile_core::MonoTime;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_routing::EjectionPolicy;
use sapphirestile_routing::RouteQuery;
use sapphirestile_routing::RoutingTable;
use sapphirestile_routing::RunnerGauge;
use sapphirestile_routing::RunnerRow;
use sapphirestile_routing::SlotGuard;

/// Daemons that take requests; all in the callers' region.
pub(super) const DAEMON_COUNT: usize = 6;
/// A caller leaves its runner at this many requests in flight.
const SPILL_IN_FLIGHT: u32 = 2;
const SERVICE: &str = "fit-check";

/// One daemon's tokens, gauges and table.
pub(super) struct DaemonView {
    home: &'static str,
    rows: Vec<Arc<RunnerRow>>,
    table: RoutingTable,
    ejection: EjectionPolicy,
    turn: usize,
}

impl DaemonView {
    /// The view of daemon `number`, with its part of each runner's slots.
    pub(super) fn new(plan: &DeploymentPlan, number: usize) -> Self {
        let row = |runner| Arc::new(row_of(plan, number, runner));
        Self {
            home: plan.zones[number % 2],
            rows: (0..WORKER_COUNT).map(row).collect(),
            table: RoutingTable::default(),
            ejection: EjectionPolicy::default(),
            turn: number,
        }
    }

    /// Publishes a table; `zone_out` is the zone that takes no work, `used`
    /// tells which runners serve.
    pub(super) fn publish(
        &mut self,
        plan: &DeploymentPlan,
        zone_out: Option<usize>,
        used: impl Fn(usize) -> bool,
    ) {
        let document = OperatorDocument::try_from(document_text(plan, zone_out).as_str());
        let document = document.expect("the document of the plan is valid");
        let served = self.rows.iter().enumerate().map(|(runner, row)| {
            let mut row = RunnerRow::clone(row);
            row.leaving = !used(runner) || zone_out == Some(DeploymentPlan::zone_of(runner));
            Arc::new(row)
        });
        self.rows = served.collect();
        let rows = self.rows.iter().map(|row| RunnerRow::clone(row));
        self.table = RoutingTable::new(&document, self.home, rows.collect());
    }

    /// Leaves slow runners out for a while.
    pub(super) fn judge(&mut self, now: MonoTime) {
        let serving = self.rows.iter().filter(|row| !row.leaving);
        let rows = serving.map(AsRef::as_ref).collect::<Vec<_>>();
        self.ejection.evaluate(&rows, now);
    }

    /// Chooses a runner and takes a slot on it.
    pub(super) fn route(
        &mut self,
        mode: RoutingMode,
        last: Option<usize>,
        now: MonoTime,
        random: u64,
    ) -> Option<SlotGuard> {
        match mode {
            RoutingMode::Chosen => self.choose(now, random),
            RoutingMode::Sticky => self.stay(last).or_else(|| self.choose(now, random)),
            RoutingMode::Random => self.scan(usize::try_from(random >> 32).unwrap_or(0)),
            RoutingMode::RoundRobin => {
                self.turn += 1;
                self.scan(self.turn)
            }
            RoutingMode::LeastLoaded => self.least(usize::try_from(random >> 32).unwrap_or(0)),
        }
    }

    fn choose(&self, now: MonoTime, random: u64) -> Option<SlotGuard> {
        let query = RouteQuery {
            service: SERVICE,
            avoid: None,
            now,
            deadline: now.plus_millis(2_000),
            random,
        };
        let choice = self.table.choose(&query).ok()?;
        Some(choice.into_slot())
    }

    fn stay(&self, last: Option<usize>) -> Option<SlotGuard> {
        let row = &self.rows[last?];
        let free = !row.leaving && row.gauge.in_flight() < SPILL_IN_FLIGHT;
        free.then(|| SlotGuard::take(row)).flatten()
    }

    fn scan(&self, start: usize) -> Option<SlotGuard> {
        let places = (0..WORKER_COUNT).map(|step| (start + step) % WORKER_COUNT);
        places
            .filter(|place| !self.rows[*place].leaving)
            .find_map(|place| SlotGuard::take(&self.rows[place]))
    }

    fn least(&self, start: usize) -> Option<SlotGuard> {
        let places = (0..WORKER_COUNT).map(|step| (start + step) % WORKER_COUNT);
        let free = |place: &usize| {
            let row = &self.rows[*place];
            !row.leaving && row.gauge.in_flight() < row.gauge.tokens()
        };
        let least = places
            .filter(free)
            .min_by_key(|place| self.rows[*place].gauge.in_flight())?;
        SlotGuard::take(&self.rows[least])
    }
}

/// The runner's place is its port.
fn row_of(plan: &DeploymentPlan, daemon: usize, runner: usize) -> RunnerRow {
    let zone = plan.zones[DeploymentPlan::zone_of(runner)];
    let gauge = RunnerGauge::new();
    gauge.add_tokens(tokens_of(daemon, runner));
    let port = u16::try_from(runner).unwrap_or(u16::MAX);
    RunnerRow {
        runner: RunnerName::try_from(format!("runner-{runner:02}")).expect("the name is valid"),
        zone: ZoneName::try_from(zone).expect("the name is valid"),
        address: ([127, 0, 0, 1], port).into(),
        service: ServiceName::try_from(SERVICE).expect("the name is valid"),
        leaving: false,
        gauge: Arc::new(gauge),
    }
}

/// The slots of a runner, split among the daemons; the rest goes round.
fn tokens_of(daemon: usize, runner: usize) -> u32 {
    let slots = usize::try_from(SLOTS_PER_RUNNER).unwrap_or(0);
    let rest = slots % DAEMON_COUNT;
    let extra = (daemon + runner) % DAEMON_COUNT < rest;
    u32::try_from(slots / DAEMON_COUNT).unwrap_or(0) + u32::from(extra)
}

fn document_text(plan: &DeploymentPlan, zone_out: Option<usize>) -> String {
    let mut text = "[region near]\nlink_mbit = 1\n[region far]\nlink_mbit = 1\n".to_owned();
    for (zone, name) in plan.zones.iter().enumerate() {
        let region = if DeploymentPlan::is_remote(zone) {
            "far"
        } else {
            "near"
        };
        let state = if zone_out == Some(zone) { "out" } else { "in" };
        writeln!(text, "[zone {name}]\nregion = {region}\nstate = {state}")
            .expect("writing to a string succeeds");
    }
    text
}
