//! Faults and what follows from them.

use rand::Rng;

use crate::round_world::RoundWorld;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_slots::ClosedReport;
use sapphirestile_slots::ClosedTotal;
use sapphirestile_slots::ReclaimPlan;
use sapphirestile_slots::TokenLedger;

impl RoundWorld {
    pub fn fault(&mut self, place: usize) {
        let peer = self.random.random_range(0..self.lives.len());
        match self.random.random_range(0..8) {
            0 => self.kill(place),
            1 => self.stop(place),
            2..4 => self.join(place),
            4 => self.freeze(place),
            5 if place != peer => self.cut_or_mend(place.min(peer), place.max(peer)),
            _ => {
                self.counts.note("store out", u32::from(!self.store_out));
                self.store_out = !self.store_out;
            }
        }
    }

    /// A planned stop: what is free goes to the others, then the life ends.
    fn stop(&mut self, place: usize) {
        let peers = (0..self.lives.len()).filter_map(|peer| self.identity(peer));
        let peers = peers.collect::<Vec<_>>();
        if let Some(life) = self.awake(place) {
            let handed = life.holder.hand_over_all(&peers, &life.gauges);
            self.counts.note("handed on stop", handed);
            self.send(place);
            self.kill(place);
        }
    }

    /// Ends a life; whether the VM list already says so is left to chance.
    fn kill(&mut self, place: usize) {
        let Some(identity) = self.identity(place) else {
            return;
        };
        self.counts.note("killed", 1);
        self.lives[place] = None;
        if self.random.random_bool(0.7) {
            self.proven.push(identity);
        }
    }

    fn freeze(&mut self, place: usize) {
        if let Some(life) = self.lives[place].as_mut() {
            life.frozen = !life.frozen;
            self.counts.note("frozen", u32::from(life.frozen));
        }
    }

    fn cut_or_mend(&mut self, one: usize, other: usize) {
        let known = self.cut.iter().position(|pair| *pair == (one, other));
        if let Some(known) = known {
            self.cut.swap_remove(known);
            return;
        }
        self.cut.push((one, other));
        self.counts.note("cut", 1);
    }

    /// The life at `place` asks the members that it reaches to close those
    /// proven gone, and reclaims their tokens when it has every report.
    pub fn reclaim(&mut self, place: usize) {
        if self.awake(place).is_none() {
            return;
        }
        let gone = self
            .store
            .members
            .iter()
            .filter(|member| self.proven.contains(member));
        let gone = gone.cloned().collect::<Vec<_>>();
        for peer in 0..self.lives.len() {
            if self.reaches(place, peer) && !self.random.random_bool(0.2) {
                self.ask_to_close(peer, &gone);
            }
        }
        let plan = ReclaimPlan::new(&self.store, &gone, &self.reports);
        let Ok(draft) = plan.map(|plan| plan.draft()) else {
            return;
        };
        let before = self.store.reclaims;
        self.write(draft);
        let reclaimed = u32::from(self.store.reclaims > before);
        self.counts.note("reclaims", reclaimed);
        self.counts
            .note("joint reclaims", reclaimed * u32::from(gone.len() > 1));
    }

    fn ask_to_close(&mut self, peer: usize, gone: &[DaemonIdentity]) {
        let Some(life) = self.awake(peer) else {
            return;
        };
        let reports = gone.iter().map(|member| life.holder.close(member));
        let reports = reports.collect::<Vec<_>>();
        let rows = life.holder.rows().clone();
        let stays = |total: &&ClosedTotal| {
            let row = rows.get(total.runner.as_str());
            row.is_some_and(|row| row.birth() == total.birth)
        };
        for report in reports {
            let same = |known: &&ClosedReport| {
                known.reporter == report.reporter && known.closed == report.closed
            };
            let Some(known) = self.reports.iter().find(same) else {
                self.reports.push(report);
                continue;
            };
            // A runner may have been forgotten since; all else never changes.
            let totals = known.totals.iter().filter(stays);
            assert!(totals.eq(&report.totals), "{known:?} became {report:?}");
        }
    }

    /// Operators change the slots of a runner, or a holder follows them.
    pub fn resize(&mut self, place: usize) {
        let runner = self.random.random_range(0..self.runners.len());
        if self.random.random_bool(0.1) {
            let slots = self.random.random_range(0..4);
            self.wanted[runner] = [0, 3, 0, 8][slots];
        }
        if self.random.random_bool(0.5) {
            self.size_runners();
        }
        self.retire(place);
    }

    pub fn retire(&mut self, place: usize) {
        let store = self.store.clone();
        let excess = self
            .runners
            .iter()
            .zip(&self.wanted)
            .map(|(runner, wanted)| {
                let slots = store
                    .runners
                    .get(runner.as_str())
                    .map_or(0, |grant| grant.slots);
                (runner.clone(), slots.saturating_sub(*wanted))
            });
        let excess = excess.collect::<Vec<_>>();
        let Some(life) = self.awake(place) else {
            return;
        };
        if life.holder.generation() != store.generation {
            return;
        }
        for (runner, count) in excess {
            life.holder.reserve_retired(&runner, count, &life.gauges);
        }
        if let Some(draft) = life.holder.draft_retired(&store) {
            self.write(draft);
            let slots = |ledger: &TokenLedger| -> u32 {
                ledger.runners.values().map(|grant| grant.slots).sum()
            };
            self.counts
                .note("tokens retired", slots(&store) - slots(&self.store));
        }
    }
}
