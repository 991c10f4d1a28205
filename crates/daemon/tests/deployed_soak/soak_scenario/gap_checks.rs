//! What must hold for long-running tasks.

use crate::gap_check::GapCheck;
use crate::long_run_gap::LongRunGap;
use crate::soak_scenario::SoakScenario;

impl SoakScenario {
    /// Prints the longest time without a run of a long-running task, and checks all of them
    /// if `check` says so.
    pub(super) fn check_gaps(&self, check: GapCheck) {
        let gaps = LongRunGap::list(&self.fleet.long_runs());
        match gaps.iter().max_by_key(|gap| gap.length_ms()) {
            Some(gap) => println!("seed {}: longest gap {}", self.seed, self.describe(gap)),
            None => println!("seed {}: no long-running task lost its run", self.seed),
        }
        if check == GapCheck::Order {
            return;
        }
        let late: Vec<String> = gaps
            .iter()
            .filter(|gap| gap.started_ms > self.latest_start_ms(gap))
            .map(|gap| self.describe(gap))
            .collect();
        assert!(
            late.is_empty(),
            "seed {}: long-running tasks ran again too late: {late:#?}",
            self.seed
        );
    }

    fn latest_start_ms(&self, gap: &LongRunGap) -> u64 {
        self.disturbances.latest_start_ms(gap.end.ended_ms)
    }

    fn describe(&self, gap: &LongRunGap) -> String {
        format!(
            "{} ms ({} allowed): {} ended at {} ms at {} by {}, next at {}",
            gap.length_ms(),
            self.latest_start_ms(gap) - gap.end.ended_ms,
            gap.task,
            gap.end.ended_ms,
            gap.worker,
            gap.end.kind,
            gap.next_worker
        )
    }
}
