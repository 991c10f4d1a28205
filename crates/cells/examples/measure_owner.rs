//! Measures the steps of an owner of 140 workers; prints microseconds per call.
//!
//! `cargo run --release -p sapphirestile-cells --example measure_owner`

use std::time::Instant;

use sapphirestile_cells::ArraySpec;
use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::CellState;
use sapphirestile_cells::CommitOutcome;
use sapphirestile_cells::OwningPhase;
use sapphirestile_cells::ReportView;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_cells::TaskEntry;
use sapphirestile_cells::WorkerFacts;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

const WORKERS: usize = 140;
const TASKS_A_JOB: u32 = 50;
const STARTS_MAX: usize = 200;
const ROUNDS: u32 = 20;

/// Numbers of running and waiting tasks of each measured cell.
const CELLS: [(usize, usize); 3] = [(70, 230), (700, 2_300), (3_000, 10_000)];

fn main() {
    for (running, waiting) in CELLS {
        let mut owner = loaded_owner(running, running + waiting);
        println!("{running} running and {waiting} waiting:");
        measure(&mut owner);
    }
}

fn measure(owner: &mut CellOwner<OwningPhase>) {
    let mut now = MonoTime::from_millis(1_000_000);
    let mut ordinals = Vec::new();
    let reports = time(|| {
        now = now.plus_millis(1_000);
        ordinals.push(renew_all(owner, now));
    });
    println!("  due_sessions, observe_report of 140 workers: {reports} us");
    let facts = facts();
    println!(
        "  set_workers: {} us",
        time(|| owner.set_workers(&facts, now))
    );
    println!("  forget_old: {} us", time(|| owner.forget_old(now, 1)));
    let mut settled = 0;
    let planned = time(|| {
        owner.plan_starts(now, STARTS_MAX);
        let started = Instant::now();
        if owner.take_batch(1).is_some() {
            owner.settle_batch(CommitOutcome::Done);
        }
        settled += started.elapsed().as_micros();
    });
    let settled = settled / u128::from(ROUNDS);
    println!("  plan_starts(200): {} us", planned - settled);
    println!("  take_batch, settle_batch: {settled} us");
    let mut index = 0;
    let submitted = time(|| {
        index += 1;
        submit(owner, &format!("large-{index}"), 500);
    });
    println!("  submit_job of 500 tasks: {submitted} us");
    let mut index = 0;
    let cancelled = time(|| {
        index += 1;
        let job = JobName::try_from(format!("large-{index}").as_str()).unwrap();
        owner.cancel_job(&job).unwrap();
    });
    println!("  cancel_job of 500 tasks: {cancelled} us");
    let started = Instant::now();
    submit(owner, "larger", 10_000);
    println!(
        "  submit_job of 10000 tasks: {} us",
        started.elapsed().as_micros()
    );
}

/// Average duration of a call in microseconds.
fn time(mut call: impl FnMut()) -> u128 {
    let started = Instant::now();
    for _ in 0..ROUNDS {
        call();
    }
    started.elapsed().as_micros() / u128::from(ROUNDS)
}

fn loaded_owner(running: usize, tasks: usize) -> CellOwner<OwningPhase> {
    let identity = DaemonIdentity {
        daemon: DaemonName::try_from("entry-1").unwrap(),
        incarnation: IncarnationNumber::new(1),
    };
    let claiming = CellOwner::claim(CellNumber::new(0), identity, CellState::default(), 1);
    let mut owner = claiming.claimed();
    let mut now = MonoTime::from_millis(10_000);
    owner.set_workers(&facts(), now);
    let quota = ResourceSize {
        cpu_milli: 1_000_000_000,
        memory_mb: 1_000_000_000,
        accelerators: 0,
    };
    let customer = CustomerName::try_from("tailors").unwrap();
    let entry = CustomerEntry {
        quota,
        priority: 100,
    };
    owner.set_customers(&[(customer, entry)].into_iter().collect());
    for job in 0..tasks / TASKS_A_JOB as usize {
        submit(&mut owner, &format!("job-{job:05}"), TASKS_A_JOB);
    }
    while count_running(&owner) < running {
        now = now.plus_millis(1_000);
        renew_all(&mut owner, now);
        let missing = running - count_running(&owner);
        owner.plan_starts(now, STARTS_MAX.min(missing));
        owner.take_batch(1);
        owner.settle_batch(CommitOutcome::Done);
        for worker in 0..WORKERS {
            for _ in 0..STARTS_MAX {
                owner.start_answered(&worker_name(worker));
            }
        }
    }
    owner
}

/// Renews every session; each worker reports the attempts that are assigned to it.
fn renew_all(owner: &mut CellOwner<OwningPhase>, now: MonoTime) -> usize {
    let sessions = owner.due_sessions(now);
    let mut reports = vec![Vec::new(); WORKERS];
    for (task, entry) in owner.state().tasks().iter() {
        if let TaskEntry::Assigned(cycle) = entry {
            let worker = cycle.phase().worker.as_str();
            let index: usize = worker.trim_start_matches("worker-").parse().unwrap();
            reports[index].push(AttemptReport {
                task: task.clone(),
                attempt: cycle.phase().attempt,
                phase: ReportedPhase::Running,
                checkpoint_ms: 0,
                usage: ResourceSize::default(),
                throttle_cpu_milli: None,
            });
        }
    }
    for session in &sessions {
        let index: usize = session.worker.as_str()[7..].parse().unwrap();
        owner.observe_report(&ReportView {
            worker: session.worker.as_str(),
            ordinal: session.ordinal,
            asked: now,
            permit: session.ordinal,
            tasks: &reports[index],
        });
    }
    sessions.len()
}

fn submit(owner: &mut CellOwner<OwningPhase>, job: &str, tasks: u32) {
    let spec = ArraySpec {
        job: JobName::try_from(job).unwrap(),
        customer: CustomerName::try_from("tailors").unwrap(),
        tasks,
        size: ResourceSize {
            cpu_milli: 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        run_ms: 600_000,
        urgent: false,
        zones: Vec::new(),
    };
    owner.submit_job(&spec).unwrap();
}

fn count_running(owner: &CellOwner<OwningPhase>) -> usize {
    let tasks = owner.state().tasks().values();
    tasks
        .filter(|entry| matches!(entry, TaskEntry::Assigned(_)))
        .count()
}

fn facts() -> Vec<WorkerFacts> {
    let fact = |index: usize| WorkerFacts {
        worker: WorkerName::try_from(worker_name(index).as_str()).unwrap(),
        zone: ZoneName::try_from(["hki", "tre", "oul"][index % 3]).unwrap(),
        rack: None,
        size: ResourceSize {
            cpu_milli: 64_000,
            memory_mb: 250_000,
            accelerators: 0,
        },
        takes_work: true,
    };
    (0..WORKERS).map(fact).collect()
}

fn worker_name(index: usize) -> String {
    format!("worker-{index:03}")
}
