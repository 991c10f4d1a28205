//! Tests of size estimation.

use crate::placement_fixture::job_name;
use crate::placement_fixture::size;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::EstimateBasis;
use sapphirestile_placement::EstimatePolicy;
use sapphirestile_placement::SizeEstimate;
use sapphirestile_placement::SizeEstimator;

const DECLARED: (u64, u64) = (4_000, 8_000);

fn estimate(estimator: &SizeEstimator, job: &str) -> SizeEstimate {
    let customer = CustomerName::try_from("tailors").unwrap();
    let policy = EstimatePolicy::default();
    estimator.estimate(&job_name(job), &customer, &declared(), &policy)
}

fn record(estimator: &mut SizeEstimator, job: &str, cpu_milli: u64, memory_mb: u64, times: u32) {
    let customer = CustomerName::try_from("tailors").unwrap();
    for _ in 0..times {
        let used = size(cpu_milli, memory_mb, 0);
        estimator.record_usage(&job_name(job), &customer, &used, &declared());
        estimator.record_peak_memory(&job_name(job), &customer, memory_mb, &declared());
    }
}

fn run_out_of_memory(estimator: &mut SizeEstimator, job: &str) {
    let customer = CustomerName::try_from("tailors").unwrap();
    estimator.record_out_of_memory(&job_name(job), &customer, &declared(), &declared());
}

fn declared() -> ResourceSize {
    size(DECLARED.0, DECLARED.1, 0)
}

fn bases(estimate: &SizeEstimate) -> [EstimateBasis; 2] {
    [estimate.cpu_basis, estimate.memory_basis]
}

#[test]
fn estimate_uses_the_most_specific_observations() {
    let mut estimator = SizeEstimator::default();
    assert_eq!(
        bases(&estimate(&estimator, "a")),
        [EstimateBasis::Declared; 2]
    );
    record(&mut estimator, "b", 1_000, 2_000, 40);
    assert_eq!(
        bases(&estimate(&estimator, "a")),
        [EstimateBasis::Customer; 2]
    );
    record(&mut estimator, "a", 2_000, 4_000, 8);
    let of_job = estimate(&estimator, "a");
    assert_eq!(
        of_job.to_string(),
        "2048 thousandths of a core from usage of the job's tasks, \
         4300 MiB from usage of the job's tasks"
    );
}

#[test]
fn memory_of_running_tasks_is_no_basis_for_an_estimate() {
    let customer = CustomerName::try_from("tailors").unwrap();
    let mut estimator = SizeEstimator::default();
    for _ in 0..100 {
        let young = size(1_000, 500, 0);
        estimator.record_usage(&job_name("a"), &customer, &young, &declared());
    }
    let young = estimate(&estimator, "a");
    assert_eq!(bases(&young), [EstimateBasis::Job, EstimateBasis::Declared]);
    assert_eq!(young.size.memory_mb, 12_000);
}

#[test]
fn memory_estimate_covers_the_largest_observed_task() {
    let mut estimator = SizeEstimator::default();
    record(&mut estimator, "a", 1_000, 1_000, 30);
    record(&mut estimator, "a", 1_000, 7_000, 1);
    assert!(estimate(&estimator, "a").size.memory_mb >= 7_000);
    assert!(estimate(&estimator, "a").size.cpu_milli < 1_500);
}

#[test]
fn running_out_of_memory_raises_the_estimate_above_the_declared_size() {
    let mut estimator = SizeEstimator::default();
    let policy = EstimatePolicy::as_declared();
    let customer = CustomerName::try_from("tailors").unwrap();
    run_out_of_memory(&mut estimator, "a");
    let raised = estimator.estimate(&job_name("a"), &customer, &declared(), &policy);
    assert_eq!(
        bases(&raised),
        [EstimateBasis::Declared, EstimateBasis::OutOfMemory]
    );
    assert_eq!(raised.size, size(4_000, 12_000, 0));
    estimator.forget_job(&job_name("a"));
    let forgotten = estimator.estimate(&job_name("a"), &customer, &declared(), &policy);
    assert_eq!(bases(&forgotten), [EstimateBasis::Declared; 2]);
}

#[test]
fn memory_estimate_covers_ended_tasks_at_any_ratio_to_the_declared_size() {
    let customer = CustomerName::try_from("tailors").unwrap();
    for factor in [1, 4, 15, 16, 60, 900] {
        let peak_mb = factor * DECLARED.1;
        let mut estimator = SizeEstimator::default();
        for _ in 0..20 {
            estimator.record_peak_memory(&job_name("a"), &customer, peak_mb, &declared());
        }
        let of_job = estimate(&estimator, "a").size.memory_mb;
        let of_customer = estimate(&estimator, "b").size.memory_mb;
        assert!((peak_mb..peak_mb * 6 / 5).contains(&of_job), "{of_job}");
        assert!(
            (peak_mb..peak_mb * 6 / 5).contains(&of_customer),
            "{of_customer}"
        );
    }
}

#[test]
fn memory_estimate_of_a_job_covers_ratios_beyond_the_last_bucket() {
    let customer = CustomerName::try_from("tailors").unwrap();
    let peak_mb = 2_000 * DECLARED.1;
    let mut estimator = SizeEstimator::default();
    estimator.record_peak_memory(&job_name("a"), &customer, peak_mb, &declared());
    assert_eq!(estimate(&estimator, "a").size.memory_mb, peak_mb * 21 / 20);
}
