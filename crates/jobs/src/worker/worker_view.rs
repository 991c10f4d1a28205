//! What the owner knows of a worker.

use crate::order::TaskAddress;
use crate::order::TaskSize;
use crate::pacing::FillingRun;
use crate::pacing::ServingRun;
use crate::worker::RunEntry;
use crate::worker::WorkerClock;
use crate::worker::WorkerEntry;
use crate::worker::WorkerTrust;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// How long the figures of a worker are followed closely after a pace was changed,
/// in milliseconds.
const WATCHED_MS: u64 = 3_000;

/// What the owner knows of a worker.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// The latest entry of the list; none for a worker of which only an earlier
    /// owner's assignments speak.
    pub entry: Option<WorkerEntry>,
    /// Whether the list shows it.
    pub is_listed: bool,
    /// The clock, once this owner has seen the worker.
    pub clock: Option<WorkerClock>,
    /// The life that was seen, in milliseconds of the Unix epoch.
    pub life_unix_ms: u64,
    /// The runs that take room.
    pub runs: SortedTable<TaskAddress, RunEntry>,
    /// The number of the latest look that began.
    pub look: u64,
    /// Whether a look is under way or waits for a batch to be stored.
    pub is_looked_at: bool,
    /// Since when the next look waits for a batch to be stored.
    pub awaits_batch: Option<MonoTime>,
    /// When the latest look came back with an answer.
    pub seen: MonoTime,
    /// Whether the latest look had no answer. Leases are not extended then: an order
    /// that arrives late would keep runs alive that nobody sees.
    pub is_silent: bool,
    /// When the latest look was ordered.
    pub looked: MonoTime,
    /// The number of the latest end that is stored.
    pub ends_stored: u64,
    /// When a run was done there last, or it was first seen.
    pub did: MonoTime,
    /// Whether it gets new tasks, by how earlier ones did.
    pub trust: WorkerTrust,
    /// When a pace was changed last.
    pub paced: MonoTime,
    used: TaskSize,
    leftover_cpu_milli: u64,
    lasting_cpu_milli: u64,
}

impl WorkerView {
    /// A worker that nothing is known of but its entry, if that.
    #[must_use]
    pub fn new(entry: Option<WorkerEntry>, now: MonoTime) -> Self {
        Self {
            life_unix_ms: entry.as_ref().map_or(0, |entry| entry.life_unix_ms),
            is_listed: entry.is_some(),
            entry,
            clock: None,
            runs: SortedTable::new(),
            look: 0,
            is_looked_at: false,
            awaits_batch: None,
            seen: now,
            is_silent: false,
            looked: MonoTime::default(),
            ends_stored: 0,
            did: now,
            trust: WorkerTrust::default(),
            paced: MonoTime::default(),
            used: TaskSize::default(),
            leftover_cpu_milli: 0,
            lasting_cpu_milli: 0,
        }
    }

    /// Adds a run, which takes room from now on.
    ///
    /// # Panics
    ///
    /// When another run of the task is there: it would be forgotten.
    pub fn add_run(&mut self, task: TaskAddress, run: RunEntry) {
        let before = self.runs.insert(task, run);
        assert!(before.is_none(), "a worker is given a second run of {task}");
        self.recount();
    }

    /// How many runs of a step the worker has.
    #[must_use]
    pub fn count_of_step(&self, task: &TaskAddress) -> u32 {
        let of_step = |other: &&TaskAddress| {
            (other.job, other.occurrence, other.step) == (task.job, task.occurrence, task.step)
        };
        let count = self.runs.keys().filter(of_step).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Whether the worker has a label, of its kind or its rack.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        let entry = self.entry.as_ref();
        entry.is_some_and(|entry| entry.labels.iter().any(|own| **own == *label))
    }

    /// Whether it has runs with callers.
    #[must_use]
    pub fn has_callers(&self) -> bool {
        self.runs
            .values()
            .any(|run| run.latency_target_ms.is_some())
    }

    /// Its runs with callers.
    #[must_use]
    pub fn serving_runs(&self) -> Vec<ServingRun> {
        self.runs
            .iter()
            .filter_map(|(task, run)| run.as_serving(*task))
            .collect()
    }

    /// Its runs that use leftover processor time and are not about to end.
    #[must_use]
    pub fn filling_runs(&self, now: MonoTime) -> Vec<FillingRun> {
        self.runs
            .iter()
            .filter_map(|(task, run)| run.as_filling(*task, now))
            .collect()
    }

    /// Takes a run out; its room is free.
    pub fn remove_run(&mut self, task: &TaskAddress) -> Option<RunEntry> {
        let removed = self.runs.remove(task);
        self.recount();
        removed
    }

    /// Whether its figures are followed closely: a latency was high lately.
    #[must_use]
    pub fn is_watched(&self, now: MonoTime) -> bool {
        self.paced != MonoTime::default() && now.millis_since(self.paced) <= WATCHED_MS
    }

    /// What the runs need, without the processor time of those that use what others
    /// leave.
    #[must_use]
    pub const fn used(&self) -> &TaskSize {
        &self.used
    }

    /// The processor time that runs of leftover time would use, in thousandths.
    #[must_use]
    pub const fn leftover_cpu_milli(&self) -> u64 {
        self.leftover_cpu_milli
    }

    /// The processor time that lasting runs may use, in thousandths.
    #[must_use]
    pub const fn lasting_cpu_milli(&self) -> u64 {
        self.lasting_cpu_milli
    }

    fn recount(&mut self) {
        let (mut used, mut leftover, mut lasting) = (TaskSize::default(), 0, 0);
        for run in self.runs.values() {
            let mut size = run.size;
            if run.uses_leftover {
                leftover += size.cpu_milli;
                size.cpu_milli = 0;
            } else if run.is_lasting {
                lasting += size.cpu_milli;
            }
            used = used.plus(&size);
        }
        self.used = used;
        self.leftover_cpu_milli = leftover;
        self.lasting_cpu_milli = lasting;
    }
}
