//! What the store says of jobs that leave a cell.

use sapphirestile_core::CellNumber;
use sapphirestile_entry::IntakeEvent;
use sapphirestile_entry::IntakeGate;
use sapphirestile_entry::RemovedJob;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::QueueTerms;
use sapphirestile_jobs::ReturnedTask;
use sapphirestile_jobs::TaskIdentity;

fn job() -> JobIdentity {
    JobIdentity::try_from("5c0e7a21d94b36f8").unwrap()
}

fn submitted(revision: u64) -> IntakeEvent {
    let spec = JobSpec {
        queue: "charts".into(),
        text: "".into(),
        steps: Vec::new(),
        repeat: None,
        accepted_unix_ms: 0,
        terms: QueueTerms {
            service: "sizing".into(),
            priority: 1,
            attempts: 2,
        },
    };
    IntakeEvent::Submitted {
        identity: job(),
        spec,
        revision,
    }
}

fn removed(revision: u64) -> [RemovedJob; 1] {
    [RemovedJob {
        job: job(),
        revision,
    }]
}

/// Guards against a job that runs twice: a listing that was read before the job left arrives
/// after its departure was stored.
#[test]
fn row_that_was_read_before_the_job_left_is_out_of_date() {
    let mut gate = IntakeGate::default();
    assert!(gate.finish_departures(&removed(20)).is_empty());
    assert_eq!(gate.admit(submitted(11), false), None);
    assert_eq!(gate.admit(submitted(21), false), Some(submitted(21)));
}

/// Guards against a job that is in no cell: it comes back before its departure is known to be
/// stored, and was then dropped as departed.
#[test]
fn job_that_comes_back_while_its_move_is_being_stored_is_taken() {
    let mut gate = IntakeGate::default();
    assert_eq!(gate.admit(submitted(23), true), None);
    let delayed = gate.finish_departures(&removed(20));
    assert_eq!(delayed, [submitted(23)]);
    assert_eq!(gate.admit(submitted(23), false), Some(submitted(23)));
}

/// Guards against a cancelled job that runs: its cancellation ended only the job that left, and
/// the one that came back was not cancelled.
#[test]
fn cancellation_during_a_move_counts_for_the_job_that_comes_back() {
    let mut gate = IntakeGate::default();
    let cancelled = IntakeEvent::Cancelled(job());
    assert_eq!(gate.admit(submitted(23), true), None);
    let at_once = gate.admit(cancelled.clone(), true);
    assert_eq!(at_once, Some(cancelled.clone()));
    let delayed = gate.finish_departures(&removed(20));
    assert_eq!(delayed, [submitted(23), cancelled]);
}

/// Guards against an owner that removes a later job's home row at the end of the retention.
#[test]
fn early_cancellation_that_was_read_before_its_removal_is_out_of_date() {
    let early = |revision| IntakeEvent::CancelledEarly {
        identity: job(),
        revision,
    };
    let mut gate = IntakeGate::default();
    assert!(gate.finish_departures(&removed(20)).is_empty());
    assert_eq!(gate.admit(early(11), false), None);
    assert_eq!(gate.admit(early(21), false), Some(early(21)));
}

/// Guards against a task that is in no cell: it returns before its transfer is known to be
/// stored.
#[test]
fn task_that_returns_while_its_transfer_is_being_stored_is_taken_afterwards() {
    let mut gate = IntakeGate::default();
    let task = TaskIdentity {
        job: job(),
        occurrence: 0,
        step: 0,
        index: 3,
    };
    let returned = IntakeEvent::Returned(ReturnedTask {
        task,
        run: 5,
        checkpoint: "".into(),
        from: CellNumber::new(2),
        idle_ms: 0,
    });
    assert_eq!(gate.admit(returned.clone(), true), None);
    assert_eq!(gate.finish_departures(&[]), [returned]);
}

/// Guards against a job that was left out as unreadable and runs after a later listing.
#[test]
fn job_that_was_left_out_is_not_taken_for_a_new_one() {
    let unreadable = [(job(), ())].into_iter().collect();
    let mut gate = IntakeGate::without(unreadable);
    assert_eq!(gate.admit(submitted(21), false), None);
    let cancelled = IntakeEvent::Cancelled(job());
    assert_eq!(gate.admit(cancelled, false), None);
}
