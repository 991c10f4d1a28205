//! Draws the workload.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::DeploymentPlan;
use crate::plan::JobTruth;
use crate::plan::TaskTruth;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;

/// The customers: name, priority, declared processor time and memory over the truth.
pub(crate) const CUSTOMERS: [(&str, u32, f64, f64); 4] = [
    ("exact", 100, 1.2, 1.3),
    ("padded", 100, 3.0, 2.5),
    ("short", 200, 0.7, 0.8),
    ("wild", 50, 5.0, 4.0),
];
const BACKLOG_JOBS_PER_CORE: f64 = 0.22;
const ARRIVALS_PER_CORE_S: f64 = 0.000_06;
const WORKERS: f64 = 48.0;
const TASKS_MAX: u32 = 40;
const NOISY_SHARE: f64 = 0.12;
const FAILING_SHARE: f64 = 0.03;
const HUGE_SHARE: f64 = 0.02;
const WIDE_SHARE: f64 = 0.04;
const URGENT_SHARE: f64 = 0.05;
/// A checkpoint is a small part of memory; the owner knows this much.
pub(crate) const CHECKPOINT_BYTES_PER_MB: f64 = 1_000.0;
const SEED_SALT: u64 = 0x6a6f_6273;

/// The jobs of a run in the order of their arrival.
pub(crate) fn make_jobs(plan: &DeploymentPlan, seed: u64, length_s: u64) -> Vec<JobTruth> {
    let mut rng = SmallRng::seed_from_u64(seed ^ SEED_SALT);
    let cores = to_f64(plan.batch_size().cpu_milli) / 1_000.0 * WORKERS;
    let mut arrivals = vec![0; to_count(cores * BACKLOG_JOBS_PER_CORE)];
    let later = to_count(cores * ARRIVALS_PER_CORE_S * to_f64(length_s));
    arrivals.extend((0..later).map(|_| rng.random_range(0..length_s)));
    arrivals.sort_unstable();
    arrivals
        .into_iter()
        .enumerate()
        .map(|(number, arrival_s)| make_job(plan, number, arrival_s, &mut rng))
        .collect()
}

fn make_job(plan: &DeploymentPlan, number: usize, arrival_s: u64, rng: &mut SmallRng) -> JobTruth {
    let (customer, _, cpu_bias, memory_bias) = CUSTOMERS[rng.random_range(0..CUSTOMERS.len())];
    let urgent = rng.random_bool(URGENT_SHARE);
    let wide = rng.random_bool(WIDE_SHARE);
    let huge = rng.random_bool(HUGE_SHARE);
    let batch = plan.batch_size();
    let cpu_milli = if wide {
        to_f64(batch.cpu_milli) * 0.5
    } else {
        1_000.0 * lognormal(rng, 0.6).clamp(0.2, 5.0)
    };
    let memory_mb = cpu_milli * 3.0 * lognormal(rng, 0.5).clamp(0.3, 2.0);
    let run_ms = 600_000.0 * lognormal(rng, 0.8).clamp(0.1, 4.0);
    let tasks = if urgent || wide {
        2
    } else {
        rng.random_range(1..=TASKS_MAX)
    };
    let tasks = (0..tasks)
        .map(|_| make_task(cpu_milli, memory_mb, run_ms, rng))
        .collect();
    let declared = if huge {
        batch.plus(&batch)
    } else {
        ResourceSize {
            cpu_milli: declare(cpu_milli * cpu_bias, batch.cpu_milli, rng),
            memory_mb: declare(memory_mb * memory_bias, batch.memory_mb, rng),
            accelerators: 0,
        }
    };
    let noisy = rng.random_bool(NOISY_SHARE);
    JobTruth {
        name: JobName::try_from(format!("job-{number:05}")).expect("the name is valid"),
        customer: CustomerName::try_from(customer).expect("the name is valid"),
        arrival_s,
        urgent,
        declared,
        tasks,
        noise: if noisy {
            rng.random_range(2.0..8.0)
        } else {
            0.1
        },
        wave_s: rng.random_range(300.0..900.0),
        wave_phase: rng.random_range(0.0..1.0),
        fails_after_ms: rng
            .random_bool(FAILING_SHARE)
            .then(|| rng.random_range(10_000.0..60_000.0)),
    }
}

fn make_task(cpu_milli: f64, memory_mb: f64, run_ms: f64, rng: &mut SmallRng) -> TaskTruth {
    let memory_mb = memory_mb * rng.random_range(0.85..1.1);
    TaskTruth {
        cpu_milli: cpu_milli * rng.random_range(0.85..1.15),
        memory_mb,
        run_ms: run_ms * rng.random_range(0.7..1.3),
        checkpoint_bytes: memory_mb * CHECKPOINT_BYTES_PER_MB * lognormal(rng, 0.8),
    }
}

fn declare(wanted: f64, most: u64, rng: &mut SmallRng) -> u64 {
    let wanted = wanted * lognormal(rng, 0.25);
    to_u64(wanted.clamp(50.0, to_f64(most)))
}

/// A draw around 1; `sigma` is the spread of its logarithm.
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
    reason = "saturates, which is what is wanted"
)]
pub(crate) const fn to_u64(number: f64) -> u64 {
    number as u64
}

fn to_count(number: f64) -> usize {
    usize::try_from(to_u64(number)).unwrap_or(usize::MAX)
}
