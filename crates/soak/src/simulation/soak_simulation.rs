//! The state and the event loop of a run.

mod call_workers;
mod check_invariants;
mod check_reports;
mod deliver_commits;
mod inject_faults;
mod step_daemons;
mod submit_work;
mod update_pressure;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::DaemonInstance;
use crate::EventQueue;
use crate::FakeStore;
use crate::FaultCounts;
use crate::FaultKind;
use crate::FaultPlan;
use crate::InvariantTracker;
use crate::OwnershipPhase;
use crate::SoakDaemon;
use crate::SoakEvent;
use crate::SoakResult;
use crate::SoakWorker;
use crate::WorkerCall;
use sapphirestile_cells::TaskEntry;
use sapphirestile_core::CellNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

const CELLS: u16 = 2;
const ZONES: [&str; 3] = ["hki", "tre", "oul"];
const WORKERS_PER_ZONE: usize = 2;
/// Faults are injected and work is submitted until this virtual time.
const FAULTS_UNTIL_MS: u64 = 120_000;
/// After the faults have ended, all tasks have to end within this time.
const DRAIN_MAX_MS: u64 = 1_200_000;
const FAULT_INTERVAL_MS: u64 = 500;
const CLOCK_OFFSET_MAX_MS: u64 = 1_000_000;

/// The store, the daemons, the workers and the callers of one run. All randomness comes from one
/// seeded generator.
#[derive(Debug)]
pub struct SoakSimulation {
    seed: u64,
    rng: SmallRng,
    now_ms: u64,
    queue: EventQueue,
    fault_plan: FaultPlan,
    fault_counts: FaultCounts,
    store: FakeStore,
    daemons: Vec<SoakDaemon>,
    workers: SortedTable<WorkerName, SoakWorker>,
    /// End of the partition in virtual time, by daemon index and worker.
    partitions: SortedTable<(usize, WorkerName), u64>,
    tracker: InvariantTracker,
    violation: Option<String>,
    /// Set when all faults have been ended; no work is submitted from then on.
    faults_ended: bool,
    /// Number of workers created so far, which the next worker's name is made of.
    worker_count: usize,
    /// Number of daemon processes started so far; the latest incarnation number.
    incarnations: u64,
}

impl SoakSimulation {
    /// Creates the simulation of a seed at virtual time 0, with all daemons and workers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let fault_plan = FaultPlan::draw(&mut rng);
        let mut simulation = Self {
            seed,
            rng,
            now_ms: 0,
            queue: EventQueue::default(),
            fault_plan,
            fault_counts: FaultCounts::default(),
            store: FakeStore::new((0..CELLS).map(CellNumber::new)),
            daemons: Vec::new(),
            workers: SortedTable::new(),
            partitions: SortedTable::new(),
            tracker: InvariantTracker::default(),
            violation: None,
            faults_ended: false,
            worker_count: 0,
            incarnations: 0,
        };
        simulation.populate();
        simulation
    }

    /// Runs until the faults are over and all tasks have ended, or until an invariant is violated.
    #[must_use]
    pub fn run(mut self) -> SoakResult {
        while self.violation.is_none()
            && !(self.faults_ended && self.all_tasks_ended())
            && let Some((at_ms, event)) = self.queue.pop()
        {
            self.now_ms = self.now_ms.max(at_ms);
            if self.now_ms > FAULTS_UNTIL_MS + DRAIN_MAX_MS {
                let open_tasks = self.describe_open_tasks();
                self.report_violation(format!(
                    "tasks have not ended within {DRAIN_MAX_MS} ms after the end of all faults: \
                     {open_tasks}"
                ));
            }
            self.handle_event(event);
        }
        self.check_all_submissions();
        SoakResult {
            seed: self.seed,
            fault_counts: self.fault_counts,
            attempts_started: self.tracker.attempts_started,
            entries_written: self.tracker.entries_written,
            violation: self.violation,
        }
    }

    fn populate(&mut self) {
        let daemons = self.rng.random_range(2..=3);
        for index in 0..daemons {
            let instance = DaemonInstance {
                index,
                incarnation: 0,
            };
            self.daemons.push(SoakDaemon::new(instance, 0));
            self.start_instance(index);
        }
        for cell in 0..CELLS {
            for zone in ZONES {
                for _ in 0..WORKERS_PER_ZONE {
                    self.add_worker(CellNumber::new(cell), zone, 0);
                }
            }
        }
        self.queue.push(0, SoakEvent::InjectFaults);
        self.queue.push(0, SoakEvent::SubmitWork);
    }

    fn add_worker(&mut self, cell: CellNumber, zone: &str, created_ms: u64) {
        self.worker_count += 1;
        let name = format!("worker-{:03}", self.worker_count);
        let name = WorkerName::try_from(name.as_str()).expect("worker names are valid");
        let zone = ZoneName::try_from(zone).expect("zone names are valid");
        let clock_offset_ms = self.rng.random_range(0..CLOCK_OFFSET_MAX_MS);
        let usage_permille = self.rng.random_range(200..2_000);
        let worker = SoakWorker::new(
            name.clone(),
            cell,
            zone,
            created_ms,
            clock_offset_ms,
            usage_permille,
        );
        self.workers.insert(name, worker);
    }

    /// Starts a new process of a daemon, without any state of the one before.
    fn start_instance(&mut self, index: usize) {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let instance = DaemonInstance { index, incarnation };
        let clock_offset_ms = self.rng.random_range(0..CLOCK_OFFSET_MAX_MS);
        self.daemons[index] = SoakDaemon::new(instance, clock_offset_ms);
        self.queue.push(self.now_ms, SoakEvent::Step(instance));
    }

    fn handle_event(&mut self, event: SoakEvent) {
        if let Some(instance) = event.instance() {
            let daemon = &self.daemons[instance.index];
            if !daemon.alive || daemon.instance != instance {
                return;
            }
            if daemon.frozen_until_ms > self.now_ms {
                self.queue.push(daemon.frozen_until_ms, event);
                return;
            }
        }
        match event {
            SoakEvent::Step(instance) => self.step_daemon(instance),
            SoakEvent::SendCall { from, cell, effect } => {
                let sent_at = self.daemons[from.index].clock(self.now_ms);
                self.send_call(WorkerCall {
                    from,
                    cell,
                    sent_at,
                    effect,
                });
            }
            SoakEvent::DeliverCall { call, answer_ms } => self.deliver_call(&call, answer_ms),
            SoakEvent::CallEnded {
                to,
                cell,
                epoch,
                outcome,
            } => self.apply_call_outcome(to, cell, epoch, outcome),
            SoakEvent::SendCommit { from, cell, nonce } => self.send_commit(from, cell, nonce),
            SoakEvent::DeliverCommit {
                from,
                commit,
                answered,
            } => self.deliver_commit(from, &commit, answered),
            SoakEvent::CommitEnded {
                to,
                cell,
                nonce,
                response,
            } => self.apply_commit_response(to, cell, nonce, response),
            SoakEvent::InjectFaults => self.inject_faults(),
            SoakEvent::SubmitWork => self.submit_work(),
            SoakEvent::RestoreZone(zone) => self.restore_zone(&zone),
            SoakEvent::StartDaemon(index) => self.start_daemon(index),
        }
    }

    /// Draws whether a fault of `kind` occurs now, and counts it if so.
    fn draw_fault(&mut self, kind: FaultKind, probability: f64) -> bool {
        let drawn = self.fault_plan.includes(kind) && self.rng.random_bool(probability);
        if drawn {
            self.fault_counts.increment(kind);
        }
        drawn
    }

    fn report_violation(&mut self, violation: impl Into<String>) {
        if self.violation.is_none() {
            self.violation = Some(format!("at {} ms: {}", self.now_ms, violation.into()));
        }
    }

    fn check_result(&mut self, result: Result<(), String>) {
        if let Err(violation) = result {
            self.report_violation(violation);
        }
    }

    /// Describes the first three tasks that have not ended, with the reason why they wait.
    fn describe_open_tasks(&self) -> String {
        let mut lines = Vec::new();
        for rows in self.store.cells() {
            for (task, entry) in rows.full_state.tasks().iter() {
                if !matches!(entry, TaskEntry::Ended(_)) {
                    let reason = self.waiting_reason(&task.job);
                    lines.push(format!("{task} {entry:?} {reason}"));
                }
            }
        }
        lines.truncate(3);
        lines.join("; ")
    }

    fn waiting_reason(&self, job: &JobName) -> String {
        let cells = self.daemons.iter().flat_map(|daemon| daemon.cells.values());
        let mut owned_cells = cells.filter_map(|cell| match &cell.phase {
            OwnershipPhase::Owned(owned) => Some(owned),
            _ => None,
        });
        let reason = owned_cells.find_map(|owned| owned.owner.waiting_reason(job));
        reason
            .unwrap_or("no owner gives a reason for waiting")
            .to_owned()
    }

    fn all_tasks_ended(&self) -> bool {
        let mut tasks = self
            .store
            .cells()
            .flat_map(|rows| rows.full_state.tasks().values());
        tasks.all(|entry| matches!(entry, TaskEntry::Ended(_)))
    }
}
