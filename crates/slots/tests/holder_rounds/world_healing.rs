//! The end of all faults.

use crate::round_world::LONGEST_REQUEST_MS;
use crate::round_world::RoundWorld;
use sapphirestile_core::SortedTable;
use sapphirestile_slots::HeldTokens;

const HEALING_ROUNDS: usize = 60;

impl RoundWorld {
    /// Ends all faults and lets every daemon do what it does each second.
    pub fn heal(&mut self) {
        self.store_out = false;
        self.cut.clear();
        let living = self.lives.iter_mut().flatten();
        living.for_each(|life| life.frozen = false);
        let places = 0..self.lives.len();
        self.delayed.clear();
        while self.lives.iter().all(Option::is_none) {
            self.join(0);
        }
        let living = self
            .lives
            .iter()
            .flatten()
            .map(|life| life.holder.identity());
        let living = living.cloned().collect::<Vec<_>>();
        let gone = self
            .store
            .members
            .iter()
            .filter(|member| !living.contains(member));
        self.proven.extend(gone.cloned());
        for _ in 0..HEALING_ROUNDS {
            self.now = self.now.plus_millis(LONGEST_REQUEST_MS);
            self.finish_work();
            self.assert_bounds();
            for place in places.clone() {
                self.apply_ledger(place);
                self.send(place);
                self.reclaim(place);
                self.apply_ledger(place);
                self.retire(place);
                self.apply_ledger(place);
            }
            let messages = std::mem::take(&mut self.network);
            for message in &messages {
                self.hand_in(message);
            }
            self.size_runners();
        }
    }

    /// Every token of every runner is usable again, at a living daemon.
    pub fn assert_whole(&self) {
        let rows = |place: usize| -> &SortedTable<_, HeldTokens> {
            let life = self.lives[place].as_ref().unwrap();
            life.holder.rows()
        };
        let living = (0..self.lives.len()).filter(|place| self.lives[*place].is_some());
        let living = living.collect::<Vec<_>>();
        assert_eq!(self.store.members.len(), living.len());
        for (runner, wanted) in self.runners.iter().zip(&self.wanted) {
            let published = |place: &usize| {
                let row = rows(*place).get(runner.as_str());
                row.map_or(0, HeldTokens::published)
            };
            let usable = living.iter().map(published).sum::<u32>();
            assert_eq!(usable, *wanted, "tokens of {runner} were stranded");
        }
    }
}
