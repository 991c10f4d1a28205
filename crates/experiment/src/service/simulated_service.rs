//! Simulates requests and measures their latency.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::DeploymentPlan;
use crate::PolicyFeature;
use crate::PolicyVariant;
use crate::RoutingMode;
use crate::batch::SimulatedWorker;
use crate::plan::EventSchedule;
use crate::plan::SLOTS_PER_RUNNER;
use crate::plan::WORKER_COUNT;
use crate::plan::lognormal;
use crate::plan::to_u64;
use crate::service::LinkModel;
use crate::service::in_flight_request::InFlightRequest;
use crate::service::simulated_daemon::DAEMON_COUNT;
use crate::service::simulated_daemon::SimulatedDaemon;
use sapphirestile_core::MonoTime;

const SECOND_US: u64 = 1_000_000;
const DEADLINE_US: u64 = 2_000_000;
/// Median run time of a request on an undisturbed runner.
const WORK_MS: f64 = 120.0;
const WORK_SIGMA: f64 = 0.45;
const CLIENT_OVERHEAD_MS: f64 = 2.0;
/// Added when the runner is in another zone of the daemon's region.
const CROSS_ZONE_MS: f64 = 3.0;
const REQUEST_BYTES: f64 = 12_000.0;
/// The number of callers; each sends many requests.
const CALLER_COUNT: usize = 3_000;
/// The share of the work left when the runner holds the caller's state, because it
/// handled the caller's previous request.
const KNOWN_CALLER_WORK_SHARE: f64 = 0.8;
const SEED_SALT: u64 = 0x7265_7173;

/// The daemons and runners of one service, with the latencies measured so far.
pub(crate) struct SimulatedService<'a> {
    plan: &'a DeploymentPlan,
    policy: &'a PolicyVariant,
    rate_per_s: f64,
    daemons: Vec<SimulatedDaemon>,
    rng: SmallRng,
    next_arrival_us: f64,
    in_flight: Vec<Option<InFlightRequest>>,
    /// Unused indices of `in_flight`.
    free_indices: Vec<usize>,
    /// Time of the answer, in microseconds, and index in `in_flight`; earliest first.
    completions: BinaryHeap<Reverse<(u64, usize)>>,
    /// For each caller the runner of its latest accepted request.
    last_runners: Vec<Option<usize>>,
    zone_out: Option<usize>,
    /// Bytes that requests sent over the link in the last second.
    pub(crate) link_bytes: f64,
    /// Latencies in microseconds; a refused request counts with its deadline.
    pub(crate) latencies: Histogram<u64>,
    /// The number of requests for which no runner had a free slot.
    pub(crate) refused: u64,
}

impl<'a> SimulatedService<'a> {
    /// Creates the service without requests; `load` scales the plan's request rate.
    pub(crate) fn new(
        plan: &'a DeploymentPlan,
        policy: &'a PolicyVariant,
        seed: u64,
        load: f64,
    ) -> Self {
        let daemons = (0..DAEMON_COUNT).map(|number| SimulatedDaemon::new(plan, number));
        let latencies = Histogram::new_with_bounds(1, 60_000_000, 3);
        let mut service = Self {
            plan,
            policy,
            rate_per_s: plan.requests_per_s * load,
            daemons: daemons.collect(),
            rng: SmallRng::seed_from_u64(seed ^ SEED_SALT),
            next_arrival_us: 0.0,
            in_flight: Vec::new(),
            free_indices: Vec::new(),
            completions: BinaryHeap::new(),
            last_runners: vec![None; CALLER_COUNT],
            zone_out: None,
            link_bytes: 0.0,
            latencies: latencies.expect("the bounds are valid"),
            refused: 0,
        };
        service.publish_tables();
        service
    }

    /// The share of all slots that are in use, from 0 to 1.
    pub(crate) fn load(&self) -> f64 {
        let in_flight = u32::try_from(self.in_flight.len() - self.free_indices.len()).unwrap_or(0);
        let runners = u32::try_from(WORKER_COUNT).unwrap_or(1);
        f64::from(in_flight) / f64::from(runners * SLOTS_PER_RUNNER)
    }

    /// Simulates the requests of one second. The tasks of `workers` slow down the
    /// runners beside them; `link` delays requests to the other region.
    pub(crate) fn step(
        &mut self,
        now_s: u64,
        schedule: &EventSchedule,
        workers: &[SimulatedWorker],
        link: &LinkModel,
    ) {
        let zone_out = schedule.is_zone_out(now_s).then_some(schedule.drained_zone);
        if zone_out != self.zone_out {
            self.zone_out = zone_out;
            self.publish_tables();
        }
        if matches!(
            self.policy.routing,
            RoutingMode::Production | RoutingMode::Sticky
        ) {
            let now = MonoTime::from_millis(now_s * 1_000);
            self.daemons
                .iter_mut()
                .for_each(|daemon| daemon.eject_slow_runners(now));
        }
        self.link_bytes = 0.0;
        let end_us = (now_s + 1) * SECOND_US;
        while to_u64(self.next_arrival_us) < end_us {
            let at_us = to_u64(self.next_arrival_us);
            self.complete_until(at_us);
            self.arrive(at_us, workers, link);
            let uniform = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            self.next_arrival_us -= uniform.ln() / self.rate_per_s * 1e6;
        }
        self.complete_until(end_us);
    }

    fn publish_tables(&mut self) {
        let colocated = self.policy.has(PolicyFeature::Colocation);
        for daemon in &mut self.daemons {
            daemon.publish_table(self.plan, self.zone_out, |runner| {
                colocated || runner % 2 == 0
            });
        }
    }

    fn arrive(&mut self, at_us: u64, workers: &[SimulatedWorker], link: &LinkModel) {
        let daemon = self.rng.random_range(0..DAEMON_COUNT);
        let caller = self.rng.random_range(0..CALLER_COUNT);
        let random = self.rng.random::<u64>();
        let work_ms = WORK_MS * lognormal(&mut self.rng, WORK_SIGMA);
        let now = MonoTime::from_millis(at_us / 1_000);
        let previous_runner = self.last_runners[caller];
        let Some(slot) =
            self.daemons[daemon].route(self.policy.routing, previous_runner, now, random)
        else {
            self.refused += 1;
            self.latencies.saturating_record(DEADLINE_US);
            return;
        };
        let runner = usize::from(slot.row().address.port());
        let zone = DeploymentPlan::zone_of(runner);
        let mut duration_ms = CLIENT_OVERHEAD_MS + work_ms * (1.0 + workers[runner].slowdown);
        if previous_runner == Some(runner) {
            duration_ms -= work_ms * (1.0 - KNOWN_CALLER_WORK_SHARE);
        }
        if DeploymentPlan::is_remote(zone) {
            duration_ms += 2.0 * link.delay_ms();
            self.link_bytes += REQUEST_BYTES;
        } else if zone != daemon % 2 {
            duration_ms += CROSS_ZONE_MS;
        }
        self.last_runners[caller] = Some(runner);
        let latency_us = to_u64(duration_ms * 1_000.0);
        let request = InFlightRequest { slot, latency_us };
        let index = self.free_indices.pop().unwrap_or(self.in_flight.len());
        if index == self.in_flight.len() {
            self.in_flight.push(Some(request));
        } else {
            self.in_flight[index] = Some(request);
        }
        self.completions.push(Reverse((at_us + latency_us, index)));
    }

    fn complete_until(&mut self, time_us: u64) {
        while let Some(Reverse((at_us, index))) = self.completions.peek().copied() {
            if at_us > time_us {
                return;
            }
            self.completions.pop();
            if let Some(request) = self.in_flight[index].take() {
                request.slot.row().gauge.record_answer(request.latency_us);
                self.latencies.saturating_record(request.latency_us);
                self.free_indices.push(index);
            }
        }
    }
}
