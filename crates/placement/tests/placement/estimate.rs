//! Scenes of estimated sizes.

use crate::scene::job_name;
use crate::scene::size;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::EstimatePolicy;
use sapphirestile_placement::SizeBasis;
use sapphirestile_placement::SizeBook;
use sapphirestile_placement::SizeEstimate;

const DECLARED: (u64, u64) = (4_000, 8_000);

fn estimate(book: &SizeBook, job: &str) -> SizeEstimate {
    let customer = CustomerName::try_from("tailors").unwrap();
    let policy = EstimatePolicy::default();
    book.estimate(&job_name(job), &customer, &declared(), &policy)
}

fn note(book: &mut SizeBook, job: &str, cpu_milli: u64, memory_mb: u64, times: u32) {
    let customer = CustomerName::try_from("tailors").unwrap();
    for _ in 0..times {
        let used = size(cpu_milli, memory_mb, 0);
        book.note_usage(&job_name(job), &customer, &used, &declared());
        book.note_end(&job_name(job), &customer, memory_mb, &declared());
    }
}

fn outgrow(book: &mut SizeBook, job: &str) {
    let customer = CustomerName::try_from("tailors").unwrap();
    book.note_outgrown(&job_name(job), &customer, &declared(), &declared());
}

fn declared() -> ResourceSize {
    size(DECLARED.0, DECLARED.1, 0)
}

fn bases(estimate: &SizeEstimate) -> [SizeBasis; 2] {
    [estimate.cpu_basis, estimate.memory_basis]
}

#[test]
fn an_estimate_rests_on_the_nearest_evidence() {
    let mut book = SizeBook::default();
    assert_eq!(bases(&estimate(&book, "a")), [SizeBasis::Declared; 2]);
    note(&mut book, "b", 1_000, 2_000, 40);
    assert_eq!(bases(&estimate(&book, "a")), [SizeBasis::Customer; 2]);
    note(&mut book, "a", 2_000, 4_000, 8);
    let of_job = estimate(&book, "a");
    assert_eq!(
        of_job.to_string(),
        "2048 thousandths of a core from what the job's tasks used, \
         4300 MiB from what the job's tasks used"
    );
}

#[test]
fn a_running_task_may_still_grow() {
    let customer = CustomerName::try_from("tailors").unwrap();
    let mut book = SizeBook::default();
    for _ in 0..100 {
        let young = size(1_000, 500, 0);
        book.note_usage(&job_name("a"), &customer, &young, &declared());
    }
    let young = estimate(&book, "a");
    assert_eq!(bases(&young), [SizeBasis::Job, SizeBasis::Declared]);
    assert_eq!(young.size.memory_mb, 12_000);
}

#[test]
fn memory_covers_the_largest_task_seen() {
    let mut book = SizeBook::default();
    note(&mut book, "a", 1_000, 1_000, 30);
    note(&mut book, "a", 1_000, 7_000, 1);
    assert!(estimate(&book, "a").size.memory_mb >= 7_000);
    assert!(estimate(&book, "a").size.cpu_milli < 1_500);
}

#[test]
fn an_outgrown_size_is_raised_beyond_what_was_declared() {
    let mut book = SizeBook::default();
    let policy = EstimatePolicy::as_declared();
    let customer = CustomerName::try_from("tailors").unwrap();
    outgrow(&mut book, "a");
    let raised = book.estimate(&job_name("a"), &customer, &declared(), &policy);
    assert_eq!(bases(&raised), [SizeBasis::Declared, SizeBasis::Outgrown]);
    assert_eq!(raised.size, size(4_000, 12_000, 0));
    book.forget_job(&job_name("a"));
    let forgotten = book.estimate(&job_name("a"), &customer, &declared(), &policy);
    assert_eq!(bases(&forgotten), [SizeBasis::Declared; 2]);
}

#[test]
fn what_ended_tasks_used_is_covered_however_far_from_what_was_declared() {
    let customer = CustomerName::try_from("tailors").unwrap();
    for factor in [1, 4, 15, 16, 60, 900] {
        let most_mb = factor * DECLARED.1;
        let mut book = SizeBook::default();
        for _ in 0..20 {
            book.note_end(&job_name("a"), &customer, most_mb, &declared());
        }
        let of_job = estimate(&book, "a").size.memory_mb;
        let of_customer = estimate(&book, "b").size.memory_mb;
        assert!((most_mb..most_mb * 6 / 5).contains(&of_job), "{of_job}");
        assert!(
            (most_mb..most_mb * 6 / 5).contains(&of_customer),
            "{of_customer}"
        );
    }
}

#[test]
fn an_ended_task_beyond_every_step_is_still_covered_for_its_job() {
    let customer = CustomerName::try_from("tailors").unwrap();
    let most_mb = 2_000 * DECLARED.1;
    let mut book = SizeBook::default();
    book.note_end(&job_name("a"), &customer, most_mb, &declared());
    assert_eq!(estimate(&book, "a").size.memory_mb, most_mb * 21 / 20);
}
