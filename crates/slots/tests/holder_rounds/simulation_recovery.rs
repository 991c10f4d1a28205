//! Recovery after all faults have ended.

use crate::token_simulation::MAX_REQUEST_MS;
use crate::token_simulation::TokenSimulation;
use sapphirestile_core::SortedTable;
use sapphirestile_slots::HeldTokens;

const RECOVERY_ROUNDS: usize = 60;

impl TokenSimulation {
    /// Ends all faults and runs the periodic work of every daemon.
    pub fn recover(&mut self) {
        self.store_unavailable = false;
        self.cut_links.clear();
        let running = self.processes.iter_mut().flatten();
        running.for_each(|process| process.frozen = false);
        let indices = 0..self.processes.len();
        self.delayed.clear();
        while self.processes.iter().all(Option::is_none) {
            self.join(0);
        }
        let running = self
            .processes
            .iter()
            .flatten()
            .map(|process| process.holder.identity());
        let running = running.cloned().collect::<Vec<_>>();
        let gone = self
            .store
            .members
            .iter()
            .filter(|member| !running.contains(member));
        self.proven_gone.extend(gone.cloned());
        for _ in 0..RECOVERY_ROUNDS {
            self.now = self.now.plus_millis(MAX_REQUEST_MS);
            self.finish_work();
            self.assert_slot_limits();
            for index in indices.clone() {
                self.apply_ledger(index);
                self.send(index);
                self.reclaim(index);
                self.apply_ledger(index);
                self.retire(index);
                self.apply_ledger(index);
            }
            let messages = std::mem::take(&mut self.network);
            for message in &messages {
                self.receive(message);
            }
            self.size_runners();
        }
    }

    /// Asserts that every token of every runner is usable by a running daemon.
    pub fn assert_all_usable(&self) {
        let rows = |index: usize| -> &SortedTable<_, HeldTokens> {
            let process = self.processes[index].as_ref().unwrap();
            process.holder.rows()
        };
        let running = (0..self.processes.len()).filter(|index| self.processes[*index].is_some());
        let running = running.collect::<Vec<_>>();
        assert_eq!(self.store.members.len(), running.len());
        for (runner, wanted) in self.runners.iter().zip(&self.wanted_slots) {
            let published = |index: &usize| {
                let row = rows(*index).get(runner.as_str());
                row.map_or(0, HeldTokens::published)
            };
            let usable = running.iter().map(published).sum::<u32>();
            assert_eq!(usable, *wanted, "tokens of {runner} were not recovered");
        }
    }
}
