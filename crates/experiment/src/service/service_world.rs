//! Requests, runners and latencies.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::DeploymentPlan;
use crate::PolicyFeature;
use crate::PolicySet;
use crate::RoutingMode;
use crate::batch::FakeWorker;
use crate::plan::EventPlan;
use crate::plan::SLOTS_PER_RUNNER;
use crate::plan::WORKER_COUNT;
use crate::plan::lognormal;
use crate::plan::to_u64;
use crate::service::LinkModel;
use crate::service::daemon_view::DAEMON_COUNT;
use crate::service::daemon_view::DaemonView;
use crate::service::open_request::OpenRequest;
use sapphirestile_core::MonoTime;

const SECOND_US: u64 = 1_000_000;
const DEADLINE_US: u64 = 2_000_000;
const WORK_MS: f64 = 120.0;
const WORK_SPREAD: f64 = 0.45;
const CLIENT_MS: f64 = 2.0;
const ZONE_MS: f64 = 3.0;
const REQUEST_BYTES: f64 = 12_000.0;
/// Callers that ask again and again.
const CALLER_COUNT: usize = 3_000;
/// A runner that holds the caller's state does this part of the work.
const KNOWN_CALLER_PART: f64 = 0.8;
const SEED_SALT: u64 = 0x7265_7173;

/// The service: daemons, runners and what was measured.
pub(crate) struct ServiceWorld<'a> {
    plan: &'a DeploymentPlan,
    policy: &'a PolicySet,
    rate_per_s: f64,
    daemons: Vec<DaemonView>,
    rng: SmallRng,
    next_arrival_us: f64,
    open: Vec<Option<OpenRequest>>,
    free: Vec<usize>,
    answers: BinaryHeap<Reverse<(u64, usize)>>,
    last_runner: Vec<Option<usize>>,
    zone_out: Option<usize>,
    /// Bytes of requests that crossed the link in the last second.
    pub(crate) link_bytes: f64,
    /// Latencies in microseconds; a refused request counts as its deadline.
    pub(crate) latencies: Histogram<u64>,
    pub(crate) refused: u64,
}

impl<'a> ServiceWorld<'a> {
    /// Daemons and runners without requests.
    pub(crate) fn new(
        plan: &'a DeploymentPlan,
        policy: &'a PolicySet,
        seed: u64,
        load: f64,
    ) -> Self {
        let daemons = (0..DAEMON_COUNT).map(|number| DaemonView::new(plan, number));
        let latencies = Histogram::new_with_bounds(1, 60_000_000, 3);
        let mut world = Self {
            plan,
            policy,
            rate_per_s: plan.requests_per_s * load,
            daemons: daemons.collect(),
            rng: SmallRng::seed_from_u64(seed ^ SEED_SALT),
            next_arrival_us: 0.0,
            open: Vec::new(),
            free: Vec::new(),
            answers: BinaryHeap::new(),
            last_runner: vec![None; CALLER_COUNT],
            zone_out: None,
            link_bytes: 0.0,
            latencies: latencies.expect("the bounds are valid"),
            refused: 0,
        };
        world.publish();
        world
    }

    /// The share of all slots in use.
    pub(crate) fn load(&self) -> f64 {
        let open = u32::try_from(self.open.len() - self.free.len()).unwrap_or(0);
        let runners = u32::try_from(WORKER_COUNT).unwrap_or(1);
        f64::from(open) / f64::from(runners * SLOTS_PER_RUNNER)
    }

    /// A second of requests, on runners beside `workers`.
    pub(crate) fn step(
        &mut self,
        now_s: u64,
        events: &EventPlan,
        workers: &[FakeWorker],
        link: &LinkModel,
    ) {
        let zone_out = events.is_zone_out(now_s).then_some(events.zone);
        if zone_out != self.zone_out {
            self.zone_out = zone_out;
            self.publish();
        }
        if matches!(
            self.policy.routing,
            RoutingMode::Chosen | RoutingMode::Sticky
        ) {
            let now = MonoTime::from_millis(now_s * 1_000);
            self.daemons.iter_mut().for_each(|daemon| daemon.judge(now));
        }
        self.link_bytes = 0.0;
        let end_us = (now_s + 1) * SECOND_US;
        while to_u64(self.next_arrival_us) < end_us {
            let at_us = to_u64(self.next_arrival_us);
            self.answer_until(at_us);
            self.arrive(at_us, workers, link);
            let uniform = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            self.next_arrival_us -= uniform.ln() / self.rate_per_s * 1e6;
        }
        self.answer_until(end_us);
    }

    fn publish(&mut self) {
        let shared = self.policy.has(PolicyFeature::Colocation);
        for daemon in &mut self.daemons {
            daemon.publish(self.plan, self.zone_out, |runner| shared || runner % 2 == 0);
        }
    }

    fn arrive(&mut self, at_us: u64, workers: &[FakeWorker], link: &LinkModel) {
        let daemon = self.rng.random_range(0..DAEMON_COUNT);
        let caller = self.rng.random_range(0..CALLER_COUNT);
        let random = self.rng.random::<u64>();
        let work = WORK_MS * lognormal(&mut self.rng, WORK_SPREAD);
        let now = MonoTime::from_millis(at_us / 1_000);
        let last = self.last_runner[caller];
        let Some(slot) = self.daemons[daemon].route(self.policy.routing, last, now, random) else {
            self.refused += 1;
            self.latencies.saturating_record(DEADLINE_US);
            return;
        };
        let runner = usize::from(slot.row().address.port());
        let zone = DeploymentPlan::zone_of(runner);
        let mut wait_ms = CLIENT_MS + work * (1.0 + workers[runner].slowdown);
        if last == Some(runner) {
            wait_ms -= work * (1.0 - KNOWN_CALLER_PART);
        }
        if DeploymentPlan::is_remote(zone) {
            wait_ms += 2.0 * link.delay_ms();
            self.link_bytes += REQUEST_BYTES;
        } else if zone != daemon % 2 {
            wait_ms += ZONE_MS;
        }
        self.last_runner[caller] = Some(runner);
        let latency_us = to_u64(wait_ms * 1_000.0);
        let request = OpenRequest { slot, latency_us };
        let place = self.free.pop().unwrap_or(self.open.len());
        if place == self.open.len() {
            self.open.push(Some(request));
        } else {
            self.open[place] = Some(request);
        }
        self.answers.push(Reverse((at_us + latency_us, place)));
    }

    fn answer_until(&mut self, time_us: u64) {
        while let Some(Reverse((at_us, place))) = self.answers.peek().copied() {
            if at_us > time_us {
                return;
            }
            self.answers.pop();
            if let Some(request) = self.open[place].take() {
                request.slot.row().gauge.record_answer(request.latency_us);
                self.latencies.saturating_record(request.latency_us);
                self.free.push(place);
            }
        }
    }
}
