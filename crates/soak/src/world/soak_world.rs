//! The world of a run.

mod call_workers;
mod check_entries;
mod check_merges;
mod inject_faults;
mod keep_cells;
mod press_workers;
mod settle_commits;
mod submit_work;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::EventQueue;
use crate::FakeStore;
use crate::FaultCounts;
use crate::FaultKind;
use crate::FaultPlan;
use crate::ProcessMark;
use crate::RunLedger;
use crate::SeatPhase;
use crate::SoakDaemon;
use crate::SoakEvent;
use crate::SoakVerdict;
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
const WORKERS_A_ZONE: usize = 2;
const FAULTS_UNTIL_MS: u64 = 120_000;
const HEALED_WITHIN_MS: u64 = 1_200_000;
const FAULT_INTERVAL_MS: u64 = 500;
const CLOCK_OFFSET_MAX_MS: u64 = 1_000_000;

/// The store, the daemons, the workers and the callers of one run.
#[derive(Debug)]
pub struct SoakWorld {
    seed: u64,
    rng: SmallRng,
    now: u64,
    queue: EventQueue,
    plan: FaultPlan,
    counts: FaultCounts,
    store: FakeStore,
    daemons: Vec<SoakDaemon>,
    workers: SortedTable<WorkerName, SoakWorker>,
    partitions: SortedTable<(usize, WorkerName), u64>,
    ledger: RunLedger,
    violation: Option<String>,
    healed: bool,
    workers_made: usize,
    lives: u64,
}

impl SoakWorld {
    /// The world of a seed, before anything has happened.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let plan = FaultPlan::draw(&mut rng);
        let mut world = Self {
            seed,
            rng,
            now: 0,
            queue: EventQueue::default(),
            plan,
            counts: FaultCounts::default(),
            store: FakeStore::new((0..CELLS).map(CellNumber::new)),
            daemons: Vec::new(),
            workers: SortedTable::new(),
            partitions: SortedTable::new(),
            ledger: RunLedger::default(),
            violation: None,
            healed: false,
            workers_made: 0,
            lives: 0,
        };
        world.populate();
        world
    }

    /// Runs until all work has ended, or an invariant is broken.
    #[must_use]
    pub fn run(mut self) -> SoakVerdict {
        while self.violation.is_none()
            && !(self.healed && self.all_ended())
            && let Some((at, event)) = self.queue.pop()
        {
            self.now = self.now.max(at);
            if self.now > FAULTS_UNTIL_MS + HEALED_WITHIN_MS {
                let stuck = self.describe_open();
                self.broken(format!(
                    "work has not ended long after all faults did: {stuck}"
                ));
            }
            self.take(event);
        }
        self.check_all_promises();
        SoakVerdict {
            seed: self.seed,
            counts: self.counts,
            starts: self.ledger.starts,
            entries: self.ledger.entries,
            violation: self.violation,
        }
    }

    fn populate(&mut self) {
        let daemons = self.rng.random_range(2..=3);
        for place in 0..daemons {
            let mark = ProcessMark {
                place,
                incarnation: 0,
            };
            self.daemons.push(SoakDaemon::new(mark, 0));
            self.begin_life(place);
        }
        for cell in 0..CELLS {
            for zone in ZONES {
                for _ in 0..WORKERS_A_ZONE {
                    self.add_worker(CellNumber::new(cell), zone, 0);
                }
            }
        }
        self.queue.push(0, SoakEvent::InjectFaults);
        self.queue.push(0, SoakEvent::SubmitWork);
    }

    fn add_worker(&mut self, cell: CellNumber, zone: &str, since: u64) {
        self.workers_made += 1;
        let name = format!("worker-{:03}", self.workers_made);
        let name = WorkerName::try_from(name.as_str()).expect("the name is well formed");
        let zone = ZoneName::try_from(zone).expect("the name is well formed");
        let offset = self.rng.random_range(0..CLOCK_OFFSET_MAX_MS);
        let usage_permille = self.rng.random_range(200..2_000);
        let worker = SoakWorker::new(name.clone(), cell, zone, since, offset, usage_permille);
        self.workers.insert(name, worker);
    }

    /// Starts a daemon that knows nothing of its life before.
    fn begin_life(&mut self, place: usize) {
        self.lives += 1;
        let incarnation = self.lives;
        let mark = ProcessMark { place, incarnation };
        let offset = self.rng.random_range(0..CLOCK_OFFSET_MAX_MS);
        self.daemons[place] = SoakDaemon::new(mark, offset);
        self.queue.push(self.now, SoakEvent::Step(mark));
    }

    fn take(&mut self, event: SoakEvent) {
        if let Some(mark) = event.process() {
            let daemon = &self.daemons[mark.place];
            if !daemon.alive || daemon.mark != mark {
                return;
            }
            if daemon.frozen_until > self.now {
                self.queue.push(daemon.frozen_until, event);
                return;
            }
        }
        match event {
            SoakEvent::Step(mark) => self.step(mark),
            SoakEvent::CallLeaves { from, cell, effect } => {
                let asked = self.daemons[from.place].clock(self.now);
                self.send_call(WorkerCall {
                    from,
                    cell,
                    asked,
                    effect,
                });
            }
            SoakEvent::CallArrives { call, answer_ms } => self.serve_call(&call, answer_ms),
            SoakEvent::News {
                to,
                cell,
                epoch,
                news,
            } => self.take_news(to, cell, epoch, news),
            SoakEvent::CommitLeaves { from, cell, nonce } => self.send_commit(from, cell, nonce),
            SoakEvent::CommitLands {
                from,
                commit,
                answered,
            } => self.land_commit(from, &commit, answered),
            SoakEvent::CommitAnswered {
                to,
                cell,
                nonce,
                answer,
            } => self.take_answer(to, cell, nonce, answer),
            SoakEvent::InjectFaults => self.inject_faults(),
            SoakEvent::SubmitWork => self.submit_work(),
            SoakEvent::ZoneReturns(zone) => self.return_zone(&zone),
            SoakEvent::DaemonStarts(place) => self.start_daemon(place),
        }
    }

    /// Draws whether a fault of `kind` happens now, and counts it.
    fn draws(&mut self, kind: FaultKind, probability: f64) -> bool {
        let drawn = self.plan.has(kind) && self.rng.random_bool(probability);
        if drawn {
            self.counts.note(kind);
        }
        drawn
    }

    fn broken(&mut self, what: impl Into<String>) {
        if self.violation.is_none() {
            self.violation = Some(format!("at {} ms: {}", self.now, what.into()));
        }
    }

    fn check(&mut self, checked: Result<(), String>) {
        if let Err(what) = checked {
            self.broken(what);
        }
    }

    /// The first few tasks that have not ended, and why they wait.
    fn describe_open(&self) -> String {
        let mut lines = Vec::new();
        for rows in self.store.cells() {
            for (task, entry) in rows.truth.tasks().iter() {
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
        let seats = self.daemons.iter().flat_map(|daemon| daemon.seats.values());
        let mut open = seats.filter_map(|seat| match &seat.phase {
            SeatPhase::Open(seat) => Some(seat),
            _ => None,
        });
        let reason = open.find_map(|seat| seat.owner.waiting_reason(job));
        reason.unwrap_or("for no reason given").to_owned()
    }

    fn all_ended(&self) -> bool {
        let mut tasks = self
            .store
            .cells()
            .flat_map(|rows| rows.truth.tasks().values());
        tasks.all(|entry| matches!(entry, TaskEntry::Ended(_)))
    }
}
