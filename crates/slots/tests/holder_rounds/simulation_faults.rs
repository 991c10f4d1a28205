//! Fault injection, reclaims and slot changes.

use rand::Rng;

use crate::token_simulation::TokenSimulation;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_slots::ClosedReport;
use sapphirestile_slots::ClosedTotal;
use sapphirestile_slots::ReclaimPlan;
use sapphirestile_slots::TokenLedger;

impl TokenSimulation {
    pub fn inject_fault(&mut self, index: usize) {
        let peer = self.random.random_range(0..self.processes.len());
        match self.random.random_range(0..8) {
            0 => self.kill(index),
            1 => self.shut_down(index),
            2..4 => self.join(index),
            4 => self.toggle_freeze(index),
            5 if index != peer => self.toggle_link(index.min(peer), index.max(peer)),
            _ => {
                self.counts
                    .record("store unavailable", u32::from(!self.store_unavailable));
                self.store_unavailable = !self.store_unavailable;
            }
        }
    }

    /// Shuts a process down as planned: it hands its free tokens over first.
    fn shut_down(&mut self, index: usize) {
        let peers = (0..self.processes.len()).filter_map(|peer| self.identity(peer));
        let peers = peers.collect::<Vec<_>>();
        if let Some(process) = self.awake(index) {
            let handed = process.holder.hand_over_all(&peers, &process.gauges);
            self.counts.record("handed over on shutdown", handed);
            self.send(index);
            self.kill(index);
        }
    }

    /// Kills a process. It is proven gone at once only in some of the cases, as the VM
    /// list may lag behind.
    fn kill(&mut self, index: usize) {
        let Some(identity) = self.identity(index) else {
            return;
        };
        self.counts.record("killed", 1);
        self.processes[index] = None;
        if self.random.random_bool(0.7) {
            self.proven_gone.push(identity);
        }
    }

    fn toggle_freeze(&mut self, index: usize) {
        if let Some(process) = self.processes[index].as_mut() {
            process.frozen = !process.frozen;
            self.counts.record("frozen", u32::from(process.frozen));
        }
    }

    fn toggle_link(&mut self, one: usize, other: usize) {
        let known = self.cut_links.iter().position(|pair| *pair == (one, other));
        if let Some(known) = known {
            self.cut_links.swap_remove(known);
            return;
        }
        self.cut_links.push((one, other));
        self.counts.record("cut", 1);
    }

    /// Lets the process at `index` request reports on the members proven gone from all
    /// reachable members, and reclaim their tokens if all reports are there.
    pub fn reclaim(&mut self, index: usize) {
        if self.awake(index).is_none() {
            return;
        }
        let gone = self
            .store
            .members
            .iter()
            .filter(|member| self.proven_gone.contains(member));
        let gone = gone.cloned().collect::<Vec<_>>();
        for peer in 0..self.processes.len() {
            if self.reaches(index, peer) && !self.random.random_bool(0.2) {
                self.request_reports(peer, &gone);
            }
        }
        let plan = ReclaimPlan::new(&self.store, &gone, &self.reports);
        let Ok(draft) = plan.map(|plan| plan.draft()) else {
            return;
        };
        let before = self.store.reclaims;
        self.write(draft);
        let reclaimed = u32::from(self.store.reclaims > before);
        self.counts.record("reclaims", reclaimed);
        self.counts.record(
            "reclaims of several members",
            reclaimed * u32::from(gone.len() > 1),
        );
    }

    fn request_reports(&mut self, peer: usize, gone: &[DaemonIdentity]) {
        let Some(process) = self.awake(peer) else {
            return;
        };
        let reports = gone.iter().map(|member| process.holder.close(member));
        let reports = reports.collect::<Vec<_>>();
        let rows = process.holder.rows().clone();
        let is_current = |total: &&ClosedTotal| {
            let row = rows.get(total.runner.as_str());
            row.is_some_and(|row| row.created_in() == total.created_in)
        };
        for report in reports {
            let same = |known: &&ClosedReport| {
                known.reporter == report.reporter && known.closed == report.closed
            };
            let Some(known) = self.reports.iter().find(same) else {
                self.reports.push(report);
                continue;
            };
            // A runner may have been removed since; everything else must not change.
            let totals = known.totals.iter().filter(is_current);
            assert!(totals.eq(&report.totals), "{known:?} became {report:?}");
        }
    }

    /// Lets operators change the slots of a runner, or a holder apply such a change.
    pub fn resize(&mut self, index: usize) {
        let runner = self.random.random_range(0..self.runners.len());
        if self.random.random_bool(0.1) {
            let slots = self.random.random_range(0..4);
            self.wanted_slots[runner] = [0, 3, 0, 8][slots];
        }
        if self.random.random_bool(0.5) {
            self.size_runners();
        }
        self.retire(index);
    }

    pub fn retire(&mut self, index: usize) {
        let store = self.store.clone();
        let excess = self
            .runners
            .iter()
            .zip(&self.wanted_slots)
            .map(|(runner, wanted)| {
                let slots = store
                    .runners
                    .get(runner.as_str())
                    .map_or(0, |grant| grant.slots);
                (runner.clone(), slots.saturating_sub(*wanted))
            });
        let excess = excess.collect::<Vec<_>>();
        let Some(process) = self.awake(index) else {
            return;
        };
        if process.holder.generation() != store.generation {
            return;
        }
        for (runner, count) in excess {
            process
                .holder
                .reserve_for_retirement(&runner, count, &process.gauges);
        }
        if let Some(draft) = process.holder.draft_retirement(&store) {
            self.write(draft);
            let slots = |ledger: &TokenLedger| -> u32 {
                ledger.runners.values().map(|grant| grant.slots).sum()
            };
            self.counts
                .record("tokens retired", slots(&store) - slots(&self.store));
        }
    }
}
