//! Generates the batch workload from a seed.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::DeploymentPlan;
use crate::plan::JobProfile;
use crate::plan::TaskProfile;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;

/// The customers: name, priority, and the factors by which they declare CPU and
/// memory in relation to what their tasks need.
pub(crate) const CUSTOMERS: [(&str, u32, f64, f64); 4] = [
    ("exact", 100, 1.2, 1.3),
    ("padded", 100, 3.0, 2.5),
    ("short", 200, 0.7, 0.8),
    ("wild", 50, 5.0, 4.0),
];
/// Jobs that wait at the start of the run, per core of batch capacity.
const BACKLOG_JOBS_PER_CORE: f64 = 0.22;
/// Jobs that arrive later, per core of batch capacity and second.
const ARRIVALS_PER_CORE_S: f64 = 0.000_06;
/// The plan's `WORKER_COUNT` as a float.
const WORKER_COUNT: f64 = 48.0;
const TASKS_PER_JOB_MAX: u32 = 40;
/// Jobs that strongly interfere with runners.
const INTERFERING_PROBABILITY: f64 = 0.12;
/// Jobs whose tasks fail on every worker.
const FAILING_PROBABILITY: f64 = 0.03;
/// Jobs that declare more than any worker has.
const OVERSIZED_PROBABILITY: f64 = 0.02;
/// Jobs whose tasks need about half of the batch CPU of a worker.
const LARGE_PROBABILITY: f64 = 0.04;
const URGENT_PROBABILITY: f64 = 0.05;
/// Median checkpoint size per mebibyte of memory, a small part of the memory. The
/// scheduler estimates checkpoints with it; actual sizes vary per task.
pub(crate) const CHECKPOINT_BYTES_PER_MB: f64 = 1_000.0;
const SEED_SALT: u64 = 0x6a6f_6273;

/// Generates the jobs of a run of `length_s` seconds, in the order of arrival.
///
/// A job is named `job-` and its index in the list.
pub(crate) fn generate_jobs(plan: &DeploymentPlan, seed: u64, length_s: u64) -> Vec<JobProfile> {
    let mut rng = SmallRng::seed_from_u64(seed ^ SEED_SALT);
    let cores = to_f64(plan.batch_capacity().cpu_milli) / 1_000.0 * WORKER_COUNT;
    let mut arrivals = vec![0; to_count(cores * BACKLOG_JOBS_PER_CORE)];
    let arrival_count = to_count(cores * ARRIVALS_PER_CORE_S * to_f64(length_s));
    arrivals.extend((0..arrival_count).map(|_| rng.random_range(0..length_s)));
    arrivals.sort_unstable();
    arrivals
        .into_iter()
        .enumerate()
        .map(|(number, arrival_s)| generate_job(plan, number, arrival_s, &mut rng))
        .collect()
}

fn generate_job(
    plan: &DeploymentPlan,
    number: usize,
    arrival_s: u64,
    rng: &mut SmallRng,
) -> JobProfile {
    let (customer, _, cpu_factor, memory_factor) = CUSTOMERS[rng.random_range(0..CUSTOMERS.len())];
    let urgent = rng.random_bool(URGENT_PROBABILITY);
    let large = rng.random_bool(LARGE_PROBABILITY);
    let oversized = rng.random_bool(OVERSIZED_PROBABILITY);
    let capacity = plan.batch_capacity();
    let cpu_milli = if large {
        to_f64(capacity.cpu_milli) * 0.5
    } else {
        1_000.0 * lognormal(rng, 0.6).clamp(0.2, 5.0)
    };
    let memory_mb = cpu_milli * 3.0 * lognormal(rng, 0.5).clamp(0.3, 2.0);
    let run_ms = 600_000.0 * lognormal(rng, 0.8).clamp(0.1, 4.0);
    let tasks = if urgent || large {
        2
    } else {
        rng.random_range(1..=TASKS_PER_JOB_MAX)
    };
    let tasks = (0..tasks)
        .map(|_| generate_task(cpu_milli, memory_mb, run_ms, rng))
        .collect();
    let declared = if oversized {
        capacity.plus(&capacity)
    } else {
        ResourceSize {
            cpu_milli: declared_amount(cpu_milli * cpu_factor, capacity.cpu_milli, rng),
            memory_mb: declared_amount(memory_mb * memory_factor, capacity.memory_mb, rng),
            accelerators: 0,
        }
    };
    let interferes = rng.random_bool(INTERFERING_PROBABILITY);
    JobProfile {
        name: JobName::try_from(format!("job-{number:05}")).expect("the name is valid"),
        customer: CustomerName::try_from(customer).expect("the name is valid"),
        arrival_s,
        urgent,
        declared,
        tasks,
        interference: if interferes {
            rng.random_range(2.0..8.0)
        } else {
            0.1
        },
        wave_period_s: rng.random_range(300.0..900.0),
        wave_phase: rng.random_range(0.0..1.0),
        fails_after_ms: rng
            .random_bool(FAILING_PROBABILITY)
            .then(|| rng.random_range(10_000.0..60_000.0)),
    }
}

fn generate_task(cpu_milli: f64, memory_mb: f64, run_ms: f64, rng: &mut SmallRng) -> TaskProfile {
    let memory_mb = memory_mb * rng.random_range(0.85..1.1);
    TaskProfile {
        cpu_milli: cpu_milli * rng.random_range(0.85..1.15),
        memory_mb,
        run_ms: run_ms * rng.random_range(0.7..1.3),
        checkpoint_bytes: memory_mb * CHECKPOINT_BYTES_PER_MB * lognormal(rng, 0.8),
    }
}

/// The amount that a customer declares: `declared` with a random error, between 50
/// and `max`.
fn declared_amount(declared: f64, max: u64, rng: &mut SmallRng) -> u64 {
    let declared = declared * lognormal(rng, 0.25);
    to_u64(declared.clamp(50.0, to_f64(max)))
}

/// Draws from a log-normal distribution with median 1; `sigma` is the standard
/// deviation of the logarithm.
pub(crate) fn lognormal(rng: &mut SmallRng, sigma: f64) -> f64 {
    let uniform = rng.random_range(f64::MIN_POSITIVE..1.0);
    let angle = rng.random_range(0.0..std::f64::consts::TAU);
    let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
    (sigma * normal).exp()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sizes and times are far below 2^52"
)]
pub(crate) const fn to_f64(number: u64) -> f64 {
    number as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the saturating conversion is intended"
)]
pub(crate) const fn to_u64(number: f64) -> u64 {
    number as u64
}

fn to_count(number: f64) -> usize {
    usize::try_from(to_u64(number)).unwrap_or(usize::MAX)
}
