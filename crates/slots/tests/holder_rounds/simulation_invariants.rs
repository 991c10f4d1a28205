//! Invariants that hold after each step.

use crate::token_simulation::RunnerWork;
use crate::token_simulation::TokenSimulation;

impl TokenSimulation {
    /// Asserts that neither the requests at a runner nor its usable tokens exceed its
    /// slots.
    pub fn assert_slot_limits(&self) {
        for (index, runner) in self.runners.iter().enumerate() {
            let grant = self.store.runners.get(runner.as_str());
            let slots = grant.map_or(0, |grant| grant.slots);
            let working = self.work.iter().filter(|work| work.runner == index);
            let working = u32::try_from(working.count()).unwrap();
            assert!(
                working <= slots,
                "{working} requests at {runner} with {slots} slots"
            );
            let processes = self.processes.iter().flatten();
            let tokens = processes.map(|process| process.gauges.gauge(runner).tokens());
            let usable = tokens.sum::<u32>() + self.orphaned_work(index);
            assert!(
                usable <= slots,
                "{usable} usable tokens of {runner} with {slots} slots"
            );
        }
    }

    /// The number of requests at a runner whose owner is no longer running.
    fn orphaned_work(&self, runner: usize) -> u32 {
        let is_owner = |work: &RunnerWork| {
            let mut processes = self.processes.iter().flatten();
            processes.any(|process| *process.holder.identity() == work.owner)
        };
        let work = self.work.iter().filter(|work| work.runner == runner);
        let orphaned_work = work.filter(|work| !is_owner(work));
        u32::try_from(orphaned_work.count()).unwrap()
    }
}
