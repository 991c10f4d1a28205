//! A daemon that routes requests to runners.

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

/// The number of daemons that accept requests, all in the callers' region.
pub(super) const DAEMON_COUNT: usize = 6;
/// With sticky routing, a caller changes to another runner when the daemon has
/// this many requests in flight on its previous one.
const STICKY_IN_FLIGHT_MAX: u32 = 2;
const SERVICE: &str = "fit-check";

/// One daemon with its routing table and its tokens for slots of the runners.
pub(super) struct SimulatedDaemon {
    zone: &'static str,
    rows: Vec<Arc<RunnerRow>>,
    table: RoutingTable,
    ejection: EjectionPolicy,
    last_start: usize,
}

impl SimulatedDaemon {
    /// Creates daemon `number` with its part of each runner's slots. Its table is
    /// empty until [`SimulatedDaemon::publish_table`].
    pub(super) fn new(plan: &DeploymentPlan, number: usize) -> Self {
        let row = |runner| Arc::new(runner_row(plan, number, runner));
        Self {
            zone: plan.zones[number % 2],
            rows: (0..WORKER_COUNT).map(row).collect(),
            table: RoutingTable::default(),
            ejection: EjectionPolicy::default(),
            last_start: number,
        }
    }

    /// Replaces the routing table. Runners in `zone_out`, the zone out of service,
    /// and those for which `is_serving` is false get no new requests.
    pub(super) fn publish_table(
        &mut self,
        plan: &DeploymentPlan,
        zone_out: Option<usize>,
        is_serving: impl Fn(usize) -> bool,
    ) {
        let document = OperatorDocument::try_from(document_text(plan, zone_out).as_str());
        let document = document.expect("the document of the plan is valid");
        let updated_rows = self.rows.iter().enumerate().map(|(runner, row)| {
            let mut row = RunnerRow::clone(row);
            row.leaving = !is_serving(runner) || zone_out == Some(DeploymentPlan::zone_of(runner));
            Arc::new(row)
        });
        self.rows = updated_rows.collect();
        let rows = self.rows.iter().map(|row| RunnerRow::clone(row));
        self.table = RoutingTable::new(&document, self.zone, rows.collect());
    }

    /// Stops routing to unusually slow runners for some time.
    pub(super) fn eject_slow_runners(&mut self, now: MonoTime) {
        let serving = self.rows.iter().filter(|row| !row.leaving);
        let rows = serving.map(AsRef::as_ref).collect::<Vec<_>>();
        self.ejection.evaluate(&rows, now);
    }

    /// Chooses a runner and takes a slot on it; `None` if no runner is free.
    ///
    /// `last_runner` is the runner of the caller's previous request, which only
    /// sticky routing uses.
    pub(super) fn route(
        &mut self,
        mode: RoutingMode,
        last_runner: Option<usize>,
        now: MonoTime,
        random: u64,
    ) -> Option<SlotGuard> {
        match mode {
            RoutingMode::Production => self.route_by_table(now, random),
            RoutingMode::Sticky => self
                .route_sticky(last_runner)
                .or_else(|| self.route_by_table(now, random)),
            RoutingMode::Random => self.first_free(usize::try_from(random >> 32).unwrap_or(0)),
            RoutingMode::RoundRobin => {
                self.last_start += 1;
                self.first_free(self.last_start)
            }
            RoutingMode::LeastLoaded => {
                self.least_loaded(usize::try_from(random >> 32).unwrap_or(0))
            }
        }
    }

    fn route_by_table(&self, now: MonoTime, random: u64) -> Option<SlotGuard> {
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

    fn route_sticky(&self, last_runner: Option<usize>) -> Option<SlotGuard> {
        let row = &self.rows[last_runner?];
        let has_free_slot = !row.leaving && row.gauge.in_flight() < STICKY_IN_FLIGHT_MAX;
        has_free_slot.then(|| SlotGuard::take(row)).flatten()
    }

    fn first_free(&self, start: usize) -> Option<SlotGuard> {
        let runners = (0..WORKER_COUNT).map(|step| (start + step) % WORKER_COUNT);
        runners
            .filter(|runner| !self.rows[*runner].leaving)
            .find_map(|runner| SlotGuard::take(&self.rows[runner]))
    }

    fn least_loaded(&self, start: usize) -> Option<SlotGuard> {
        let runners = (0..WORKER_COUNT).map(|step| (start + step) % WORKER_COUNT);
        let has_free_slot = |runner: &usize| {
            let row = &self.rows[*runner];
            !row.leaving && row.gauge.in_flight() < row.gauge.tokens()
        };
        let least = runners
            .filter(has_free_slot)
            .min_by_key(|runner| self.rows[*runner].gauge.in_flight())?;
        SlotGuard::take(&self.rows[least])
    }
}

/// The row of `runner` in the table of `daemon`; the port of its address is the
/// index of the runner.
fn runner_row(plan: &DeploymentPlan, daemon: usize, runner: usize) -> RunnerRow {
    let zone = plan.zones[DeploymentPlan::zone_of(runner)];
    let gauge = RunnerGauge::new();
    gauge.add_tokens(token_count(daemon, runner));
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

/// The number of slots of `runner` that `daemon` may use. Slots left over after an
/// even split go to different daemons for each runner.
fn token_count(daemon: usize, runner: usize) -> u32 {
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
