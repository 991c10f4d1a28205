//! Simulates one policy with one seed.

use crate::DeploymentPlan;
use crate::PolicyVariant;
use crate::RunOutcome;
use crate::batch::BatchScheduler;
use crate::batch::SimulatedCluster;
use crate::batch::SimulatedTask;
use crate::plan::EventSchedule;
use crate::plan::generate_jobs;
use crate::plan::to_f64;
use crate::service::SimulatedService;
use sapphirestile_core::MonoTime;

const MS_PER_H: f64 = 3_600_000.0;
const MINUTE_S: u64 = 60;
const URGENT_PERCENTILE: usize = 99;
const LARGE_PERCENTILE: usize = 50;
/// Tasks that need more than this share of a worker's batch CPU are large.
const LARGE_TASK_SHARE: f64 = 0.4;

/// Simulates `policy` in the deployment `plan` for `minutes` of virtual time.
///
/// `seed` determines the workload, the requests and the events. `load` scales
/// the plan's request rate; 1 is the whole rate.
///
/// # Examples
///
/// ```
/// use sapphirestile_experiment::DeploymentPlan;
/// use sapphirestile_experiment::PolicyVariant;
/// use sapphirestile_experiment::run_once;
///
/// let plan = DeploymentPlan::all()[1];
/// let outcome = run_once(&plan, &PolicyVariant::production(), 1, 1, 0.1);
/// assert!(outcome.work_core_h > 0.0);
/// ```
#[must_use]
pub fn run_once(
    plan: &DeploymentPlan,
    policy: &PolicyVariant,
    seed: u64,
    minutes: u64,
    load: f64,
) -> RunOutcome {
    let schedule = EventSchedule::new(seed, minutes * MINUTE_S);
    let jobs = generate_jobs(plan, seed, schedule.length_s);
    let mut cluster = SimulatedCluster::new(plan, schedule, &jobs);
    let mut scheduler = BatchScheduler::new(plan, &jobs, policy, seed);
    let mut service = SimulatedService::new(plan, policy, seed, load);
    let mut zone_core_ms = 0.0;
    for now_s in 0..schedule.length_s {
        let before_core_ms = cluster.useful_core_ms;
        scheduler.step(now_s, &mut cluster);
        cluster.step(now_s, service.load(), service.link_bytes);
        service.step(now_s, &schedule, &cluster.workers, &cluster.link);
        if schedule.is_in_zone_window(now_s) {
            zone_core_ms += cluster.useful_core_ms - before_core_ms;
        }
    }
    let percentile = |share| to_f64(service.latencies.value_at_quantile(share)) / 1_000.0;
    let requests = to_f64(service.latencies.len()).max(1.0);
    RunOutcome {
        p50_ms: percentile(0.5),
        p99_ms: percentile(0.99),
        p999_ms: percentile(0.999),
        refused_ppm: to_f64(service.refused) / requests * 1e6,
        work_core_h: cluster.useful_core_ms / MS_PER_H,
        finished: to_f64(cluster.finished),
        evictions: to_f64(cluster.evictions),
        zone_work_core_h: zone_core_ms / MS_PER_H,
        urgent_wait_p99_s: percentile_s(scheduler.placer.urgent_waits, URGENT_PERCENTILE),
        large_wait_p50_s: percentile_s(
            large_waits(&cluster, &scheduler.placer.first_started),
            LARGE_PERCENTILE,
        ),
        link_mb: cluster.link.total_bytes / 1e6,
    }
}

/// The waits of large tasks for their first start, in milliseconds.
///
/// Urgent jobs and jobs that declare more than a worker has are left out. A
/// task that never started has waited until the end of the run.
fn large_waits(cluster: &SimulatedCluster<'_>, first_started: &[Option<MonoTime>]) -> Vec<u64> {
    let large_milli = to_f64(cluster.plan.batch_capacity().cpu_milli) * LARGE_TASK_SHARE;
    let run_end = MonoTime::from_millis(cluster.schedule.length_s * 1_000);
    let wait_of = |(task, first_started): (&SimulatedTask, &Option<MonoTime>)| {
        let job = &cluster.jobs[task.job];
        let arrival = MonoTime::from_millis(job.arrival_s * 1_000);
        let is_counted =
            task.profile.cpu_milli > large_milli && !job.urgent && !job.is_oversized(cluster.plan);
        is_counted.then(|| first_started.unwrap_or(run_end).millis_since(arrival))
    };
    cluster
        .tasks
        .iter()
        .zip(first_started)
        .filter_map(wait_of)
        .collect()
}

/// The given percentile of `waits`, converted from milliseconds to seconds; 0 if
/// there are none.
fn percentile_s(mut waits: Vec<u64>, percent: usize) -> f64 {
    waits.sort_unstable();
    let rank = waits.len() * percent / 100;
    waits.get(rank).map_or(0.0, |wait| to_f64(*wait) / 1_000.0)
}
