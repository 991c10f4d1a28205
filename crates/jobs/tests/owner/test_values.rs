//! Values for tests: workers, jobs and reports of runs.

use std::net::SocketAddr;

use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;
use sapphirestile_jobs::AdvisorTiming;
use sapphirestile_jobs::Assignment;
use sapphirestile_jobs::CallerLimits;
use sapphirestile_jobs::DeployedConfig;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::EndedRun;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobPlace;
use sapphirestile_jobs::JobProgress;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::OccurrenceProgress;
use sapphirestile_jobs::QueuePolicy;
use sapphirestile_jobs::QueueTerms;
use sapphirestile_jobs::ResourceVector;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StepSpec;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::StoredJob;
use sapphirestile_jobs::TaskIdentity;
use sapphirestile_jobs::TaskStage;
use sapphirestile_jobs::WorkerEntry;
use sapphirestile_jobs::WorkerIncarnation;

/// The outcome of a stop request that the first incarnation of a worker has accepted.
pub const STOP_ACCEPTED: StopOutcome = StopOutcome::Accepted(WorkerIncarnation::from_unix_ms(1));

pub fn worker_name(text: &str) -> WorkerName {
    WorkerName::try_from(text).unwrap()
}

pub fn task_identity(text: &str) -> TaskIdentity {
    TaskIdentity::try_from(text).unwrap()
}

pub fn worker(name: &str, cpu_milli: u64) -> WorkerEntry {
    WorkerEntry {
        name: worker_name(name),
        service: "sizing".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
        zone: ZoneName::try_from("near-a").unwrap(),
        labels: vec!["a".into(), "r1-1".into()],
        capacity: ResourceVector {
            cpu_milli,
            memory_mib: 64_000,
            accelerators: 0,
        },
        is_leaving: false,
        incarnation: WorkerIncarnation::from_unix_ms(1),
    }
}

pub fn step(tasks: u32, cpu_milli: u64) -> StepSpec {
    StepSpec {
        tasks,
        size: ResourceVector {
            cpu_milli,
            memory_mib: 100,
            accelerators: 0,
        },
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

pub fn job_spec(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: "charts".into(),
        terms: QueueTerms {
            service: "sizing".into(),
            priority: 1,
            attempts: 2,
        },
        text: "hem".into(),
        steps,
        repeat: None,
        accepted_unix_ms: 0,
    }
}

pub fn running(task: &str, run: u32) -> RunningRun {
    RunningRun {
        task: task_identity(task),
        run,
        checkpoint: "".into(),
        pace_percent: 100,
        measurement: 0,
    }
}

pub fn ended(number: u64, task: &str, run: u32, kind: EndKind) -> EndedRun {
    EndedRun {
        number,
        task: task_identity(task),
        run,
        kind,
        checkpoint: "".into(),
    }
}

pub fn config(version: u64) -> DeployedConfig {
    let queue = |name: &str, priority| QueuePolicy {
        name: name.into(),
        host: "desk.example".into(),
        prefix: format!("/{name}/").into(),
        terms: QueueTerms {
            service: "sizing".into(),
            priority,
            attempts: 2,
        },
        stretch: 2.0,
        base_objective_ms: 1_000,
        advice: (name == "advised").then_some(AdvisorTiming {
            decide_ms: 20,
            per_worker_ms: 1,
            validity_ms: 3_000,
        }),
    };
    let queues = [queue("charts", 1), queue("urgent", 0), queue("advised", 1)];
    DeployedConfig {
        version,
        queues: queues
            .into_iter()
            .map(|queue| (queue.name.clone(), queue))
            .collect(),
        services: SortedTable::new(),
        limits: CallerLimits {
            body_max_bytes: 1_000,
        },
    }
}

/// A long-running job whose task an earlier owner assigned to an incarnation of w-1, as run 4.
pub fn long_running_job(job: &str, incarnation: u64) -> StoredJob {
    let mut step = step(1, 1_000);
    step.is_long_running = true;
    restored_job(job, job_spec(vec![step]), 4, incarnation)
}

/// A job whose first task an earlier owner assigned to an incarnation of w-1, as `run`.
pub fn restored_job(job: &str, spec: JobSpec, run: u32, incarnation: u64) -> StoredJob {
    let mut occurrence = OccurrenceProgress::new(0, &spec);
    occurrence.steps[0].tasks[0].run = run;
    occurrence.steps[0].tasks[0].stage = TaskStage::Assigned(Assignment {
        worker: worker_name("w-1"),
        incarnation: WorkerIncarnation::from_unix_ms(incarnation),
    });
    let progress = JobProgress {
        standing: JobStanding::Running,
        begun: 1,
        occurrences: vec![occurrence],
    };
    StoredJob {
        identity: JobIdentity::try_from(job).unwrap(),
        spec,
        progress: Some(progress),
        place: JobPlace::Home,
        is_cancelled: false,
    }
}

/// A job that was accepted at this time.
pub fn accepted_at(unix_ms: u64, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        accepted_unix_ms: unix_ms,
        ..job_spec(steps)
    }
}

/// A step with one best-effort task.
pub fn fill_step() -> StepSpec {
    StepSpec {
        is_best_effort: true,
        ..step(1, 1_000)
    }
}
