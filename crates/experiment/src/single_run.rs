//! One run.

use crate::DeploymentPlan;
use crate::PolicySet;
use crate::RunOutcome;
use crate::batch::BatchOwner;
use crate::batch::BatchWorld;
use crate::batch::FakeTask;
use crate::plan::EventPlan;
use crate::plan::make_jobs;
use crate::plan::to_f64;
use crate::service::ServiceWorld;
use sapphirestile_core::MonoTime;

const CORE_MS_PER_CORE_H: f64 = 3_600_000.0;
const MINUTE_S: u64 = 60;
const URGENT_PERCENTILE: usize = 99;
const LARGE_PERCENTILE: usize = 50;
const LARGE_PART: f64 = 0.4;

/// Runs `policy` in `plan` for `minutes` of virtual time.
///
/// `load` is the part of the plan's requests a second that arrive.
///
/// # Examples
///
/// ```
/// use sapphirestile_experiment::DeploymentPlan;
/// use sapphirestile_experiment::PolicySet;
/// use sapphirestile_experiment::run_once;
///
/// let plan = DeploymentPlan::all()[1];
/// let outcome = run_once(&plan, &PolicySet::chosen(), 1, 1, 0.1);
/// assert!(outcome.work_core_h > 0.0);
/// ```
#[must_use]
pub fn run_once(
    plan: &DeploymentPlan,
    policy: &PolicySet,
    seed: u64,
    minutes: u64,
    load: f64,
) -> RunOutcome {
    let events = EventPlan::new(seed, minutes * MINUTE_S);
    let jobs = make_jobs(plan, seed, events.length_s);
    let mut world = BatchWorld::new(plan, events, &jobs);
    let mut owner = BatchOwner::new(plan, &jobs, policy, seed);
    let mut service = ServiceWorld::new(plan, policy, seed, load);
    let mut zone_work = 0.0;
    for now_s in 0..events.length_s {
        let before = world.useful_work;
        owner.step(now_s, &mut world);
        world.step(now_s, service.load(), service.link_bytes);
        service.step(now_s, &events, &world.workers, &world.link);
        if events.is_zone_window(now_s) {
            zone_work += world.useful_work - before;
        }
    }
    let percentile = |share| to_f64(service.latencies.value_at_quantile(share)) / 1_000.0;
    let requests = to_f64(service.latencies.len()).max(1.0);
    RunOutcome {
        p50_ms: percentile(0.5),
        p99_ms: percentile(0.99),
        p999_ms: percentile(0.999),
        refused_ppm: to_f64(service.refused) / requests * 1e6,
        work_core_h: world.useful_work / CORE_MS_PER_CORE_H,
        finished: to_f64(world.finished),
        evictions: to_f64(world.evictions),
        zone_work_core_h: zone_work / CORE_MS_PER_CORE_H,
        urgent_wait_s: percentile_s(owner.placer.urgent_waits, URGENT_PERCENTILE),
        large_wait_s: percentile_s(large_waits(&world, &owner.placer.begun), LARGE_PERCENTILE),
        link_mb: world.link.bytes / 1e6,
    }
}

fn large_waits(world: &BatchWorld<'_>, begun: &[Option<MonoTime>]) -> Vec<u64> {
    let large = to_f64(world.plan.batch_size().cpu_milli) * LARGE_PART;
    let end = MonoTime::from_millis(world.events.length_s * 1_000);
    let wait = |(task, begun): (&FakeTask, &Option<MonoTime>)| {
        let job = &world.jobs[task.job];
        let arrival = MonoTime::from_millis(job.arrival_s * 1_000);
        let counts = task.truth.cpu_milli > large && !job.urgent && !job.is_huge(world.plan);
        counts.then(|| begun.unwrap_or(end).millis_since(arrival))
    };
    world.tasks.iter().zip(begun).filter_map(wait).collect()
}

/// The wait that `percent` of `waits` stay below, in seconds.
fn percentile_s(mut waits: Vec<u64>, percent: usize) -> f64 {
    waits.sort_unstable();
    let place = waits.len() * percent / 100;
    waits.get(place).map_or(0.0, |wait| to_f64(*wait) / 1_000.0)
}
