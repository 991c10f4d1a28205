//! Faults that last.

use rand::Rng;

use crate::FaultKind;
use crate::SoakEvent;
use crate::SoakWorld;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

const TIMED_PROBABILITY: f64 = 0.04;

impl SoakWorld {
    pub(super) fn inject_faults(&mut self) {
        if self.now >= super::FAULTS_UNTIL_MS {
            self.heal();
            return;
        }
        for kind in self.plan.kinds().to_vec() {
            self.inject(kind);
        }
        let next = self.now + super::FAULT_INTERVAL_MS;
        self.queue.push(next, SoakEvent::InjectFaults);
    }

    pub(super) fn return_zone(&mut self, zone: &ZoneName) {
        self.store.change_zone(zone, false, self.now);
    }

    pub(super) fn start_daemon(&mut self, place: usize) {
        if !self.daemons[place].alive {
            self.begin_life(place);
        }
    }

    fn inject(&mut self, kind: FaultKind) {
        let timed = matches!(
            kind,
            FaultKind::StoreOutage
                | FaultKind::DaemonKilled
                | FaultKind::DaemonFrozen
                | FaultKind::Partition
                | FaultKind::WorkerGone
                | FaultKind::WorkerRestarted
                | FaultKind::WorkerBad
                | FaultKind::ZoneOut
                | FaultKind::CancelBurst
        );
        if !timed || !self.draws(kind, TIMED_PROBABILITY) {
            return;
        }
        match kind {
            FaultKind::StoreOutage => {
                self.store.out_until = self.now + self.rng.random_range(200..20_000);
            }
            FaultKind::DaemonKilled => self.kill_daemon(),
            FaultKind::DaemonFrozen => {
                let place = self.any_daemon();
                let until = self.now + self.rng.random_range(100..45_000);
                self.daemons[place].frozen_until = until;
            }
            FaultKind::Partition => self.part(),
            FaultKind::WorkerGone => self.lose_worker(),
            FaultKind::WorkerRestarted => self.restart_worker(),
            FaultKind::WorkerBad => {
                let until = self.now + self.rng.random_range(1_000..30_000);
                let name = self.any_worker();
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.bad_until = until;
                }
            }
            FaultKind::ZoneOut => self.take_zone_out(),
            FaultKind::CancelBurst => self.cancel_burst(),
            _ => {}
        }
    }

    fn kill_daemon(&mut self) {
        let place = self.any_daemon();
        self.daemons[place].alive = false;
        let again = self.now + self.rng.random_range(500..20_000);
        self.queue.push(again, SoakEvent::DaemonStarts(place));
    }

    /// Parts one daemon from several workers.
    fn part(&mut self) {
        let place = self.any_daemon();
        let until = self.now + self.rng.random_range(500..50_000);
        for _ in 0..self.rng.random_range(1..8) {
            let worker = self.any_worker();
            self.partitions.insert((place, worker), until);
        }
    }

    fn lose_worker(&mut self) {
        let name = self.any_worker();
        let since = self.now + self.rng.random_range(0..20_000);
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        if worker.gone.is_none() {
            worker.gone = Some(self.now);
            let (cell, zone) = (worker.cell, worker.zone.clone());
            self.add_worker(cell, zone.as_str(), since);
        }
    }

    fn restart_worker(&mut self) {
        let name = self.any_worker();
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.restart(now);
        }
    }

    fn take_zone_out(&mut self) {
        let place = self.rng.random_range(0..super::ZONES.len());
        let zone = ZoneName::try_from(super::ZONES[place]).expect("the name is well formed");
        self.store.change_zone(&zone, true, self.now);
        let back = self.now + self.rng.random_range(500..40_000);
        self.queue.push(back, SoakEvent::ZoneReturns(zone));
    }

    fn any_daemon(&mut self) -> usize {
        self.rng.random_range(0..self.daemons.len())
    }

    fn any_worker(&mut self) -> WorkerName {
        let place = self.rng.random_range(0..self.workers.len());
        let name = self.workers.keys().nth(place);
        name.expect("the place is that of a worker").clone()
    }

    /// Ends every fault; the work that there is has to end now.
    fn heal(&mut self) {
        self.healed = true;
        self.plan.heal();
        self.store.out_until = 0;
        self.partitions.retain(|_, _| false);
        for place in 0..self.daemons.len() {
            self.daemons[place].frozen_until = self.now;
            self.start_daemon(place);
        }
        for (_, worker) in self.workers.iter_mut() {
            worker.bad_until = 0;
        }
        for zone in super::ZONES {
            let zone = ZoneName::try_from(zone).expect("the name is well formed");
            self.store.change_zone(&zone, false, self.now);
        }
    }
}
