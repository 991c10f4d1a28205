//! A simulated worker, whose best-effort runs slow those that serve callers.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::EndedRun;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::WorkerEntry;

use crate::test_values::ended;
use crate::wait_simulation::simulated_run::SimulatedRun;

/// Latency of a serving run without any load, in milliseconds.
pub const LOWEST_MS: u64 = 20;

/// Upper limit for the latency of a serving run, in milliseconds.
pub const TARGET_MS: u64 = 100;

/// Highest load that can be told from the latency.
const LOAD_MAX: f64 = 0.95;

/// A simulated worker, whose best-effort runs slow those that serve callers.
pub struct SimulatedWorker {
    pub entry: WorkerEntry,
    pub runs: Vec<SimulatedRun>,
    /// Load by callers, from 0 to 1.
    pub own_load: f64,
    /// Load that a processor used by a best-effort run adds.
    pub added_load: f64,
    /// Time for which a serving run has been over its target because of others, in milliseconds.
    pub harmed_ms: u64,
    ends: Vec<EndedRun>,
}

impl SimulatedWorker {
    pub const fn new(entry: WorkerEntry, added_load: f64) -> Self {
        Self {
            entry,
            runs: Vec::new(),
            own_load: 0.0,
            added_load,
            harmed_ms: 0,
            ends: Vec::new(),
        }
    }

    pub fn name(&self) -> String {
        self.entry.name.to_string()
    }

    pub fn advance(&mut self, milliseconds: u64) {
        for run in &mut self.runs {
            run.advance(milliseconds);
        }
        if self.latency_ms() > TARGET_MS && latency_at(self.own_load) <= TARGET_MS {
            self.harmed_ms += milliseconds;
        } else {
            self.harmed_ms = 0;
        }
        while let Some(index) = self.runs.iter().position(|run| run.left_ms == 0) {
            self.end(index, EndKind::Done);
        }
    }

    /// Ends a run. Returns it.
    pub fn end(&mut self, index: usize, kind: EndKind) -> SimulatedRun {
        let run = self.runs.remove(index);
        let number = self.ends.len() as u64 + 1;
        self.ends.push(ended(number, &run.task, run.run, kind));
        run
    }

    pub fn position(&self, task: &str) -> Option<usize> {
        self.runs.iter().position(|run| run.task == task)
    }

    /// What the worker responds to a poll: its runs and all its ends.
    pub fn response(&self) -> (Vec<RunningRun>, Vec<EndedRun>) {
        let latency_ms = self.latency_ms();
        let runs = self.runs.iter().map(|run| run.shown(latency_ms));
        (runs.collect(), self.ends.clone())
    }

    #[expect(clippy::cast_precision_loss, reason = "a worker has few processors")]
    fn latency_ms(&self) -> u64 {
        let used_milli: u64 = self
            .runs
            .iter()
            .filter(|run| run.step.is_best_effort)
            .map(SimulatedRun::used_milli)
            .sum();
        let added = self.added_load * used_milli as f64 / 1_000.0;
        latency_at(self.own_load + added)
    }
}

/// Latency of a serving run at a load from 0 to 1, in milliseconds.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a latency is small and positive"
)]
fn latency_at(load: f64) -> u64 {
    (LOWEST_MS as f64 / (1.0 - load.min(LOAD_MAX))) as u64
}
