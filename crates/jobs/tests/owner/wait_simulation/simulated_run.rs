//! A run on a simulated worker.

use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StepSpec;

use crate::test_values::running;

const FULL_PERCENT: u64 = 100;

/// A run on a simulated worker.
pub struct SimulatedRun {
    pub task: String,
    pub run: u32,
    pub step: StepSpec,
    /// Pace, in percent of the full speed.
    pub pace_percent: u64,
    /// Work that is left, as the time that it takes at full speed, in milliseconds.
    pub left_ms: u64,
}

impl SimulatedRun {
    pub fn advance(&mut self, milliseconds: u64) {
        if !self.step.is_long_running {
            let done_ms = milliseconds * self.pace_percent / FULL_PERCENT;
            self.left_ms = self.left_ms.saturating_sub(done_ms);
        }
    }

    /// Processor time in use, in thousandths of a processor.
    pub const fn used_milli(&self) -> u64 {
        self.step.size.cpu_milli * self.pace_percent / FULL_PERCENT
    }

    /// Whether the run serves callers.
    pub const fn is_serving(&self) -> bool {
        self.step.latency_target_ms.is_some()
    }

    /// What the worker shows of the run while its serving runs have the latency.
    pub fn shown(&self, latency_ms: u64) -> RunningRun {
        let measurement = if self.is_serving() {
            latency_ms
        } else {
            self.used_milli()
        };
        RunningRun {
            pace_percent: u32::try_from(self.pace_percent).unwrap(),
            measurement,
            ..running(&self.task, self.run)
        }
    }
}
