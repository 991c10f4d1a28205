//! What must hold after each step.

use crate::round_world::RoundWorld;
use crate::round_world::RunnerWork;

impl RoundWorld {
    /// Work and usable tokens of a runner never exceed its slots.
    pub fn assert_bounds(&self) {
        for (place, runner) in self.runners.iter().enumerate() {
            let grant = self.store.runners.get(runner.as_str());
            let slots = grant.map_or(0, |grant| grant.slots);
            let working = self.work.iter().filter(|work| work.runner == place);
            let working = u32::try_from(working.count()).unwrap();
            assert!(working <= slots, "{working} at {runner} of {slots}");
            let lives = self.lives.iter().flatten();
            let tokens = lives.map(|life| life.gauges.gauge(runner).tokens());
            let usable = tokens.sum::<u32>() + self.orphans(place);
            assert!(usable <= slots, "{usable} usable at {runner} of {slots}");
        }
    }

    /// Work at a runner whose owner is dead.
    fn orphans(&self, runner: usize) -> u32 {
        let is_owner = |work: &RunnerWork| {
            let mut lives = self.lives.iter().flatten();
            lives.any(|life| *life.holder.identity() == work.owner)
        };
        let work = self.work.iter().filter(|work| work.runner == runner);
        let orphans = work.filter(|work| !is_owner(work));
        u32::try_from(orphans.count()).unwrap()
    }
}
