//! Injection of faults that are drawn at regular intervals.

use rand::Rng;

use crate::FaultKind;
use crate::SoakEvent;
use crate::SoakSimulation;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

/// Probability of each kind in each interval.
const FAULT_PROBABILITY: f64 = 0.04;

impl SoakSimulation {
    /// Draws every selected kind once and schedules the next draw. After `FAULTS_UNTIL_MS`, ends
    /// all faults instead.
    pub(super) fn inject_faults(&mut self) {
        if self.now_ms >= super::FAULTS_UNTIL_MS {
            self.end_faults();
            return;
        }
        for kind in self.fault_plan.kinds().to_vec() {
            self.inject(kind);
        }
        let next = self.now_ms + super::FAULT_INTERVAL_MS;
        self.queue.push(next, SoakEvent::InjectFaults);
    }

    pub(super) fn restore_zone(&mut self, zone: &ZoneName) {
        self.store.set_zone_out(zone, false, self.now_ms);
    }

    pub(super) fn start_daemon(&mut self, index: usize) {
        if !self.daemons[index].alive {
            self.start_instance(index);
        }
    }

    /// Injects a fault of `kind` if it is drawn. The other kinds are drawn where they occur, such
    /// as at each call.
    fn inject(&mut self, kind: FaultKind) {
        let scheduled = matches!(
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
        if !scheduled || !self.draw_fault(kind, FAULT_PROBABILITY) {
            return;
        }
        match kind {
            FaultKind::StoreOutage => {
                self.store.unavailable_until_ms = self.now_ms + self.rng.random_range(200..20_000);
            }
            FaultKind::DaemonKilled => self.kill_daemon(),
            FaultKind::DaemonFrozen => {
                let index = self.random_daemon();
                let until_ms = self.now_ms + self.rng.random_range(100..45_000);
                self.daemons[index].frozen_until_ms = until_ms;
            }
            FaultKind::Partition => self.partition_daemon(),
            FaultKind::WorkerGone => self.replace_worker(),
            FaultKind::WorkerRestarted => self.restart_worker(),
            FaultKind::WorkerBad => {
                let until_ms = self.now_ms + self.rng.random_range(1_000..30_000);
                let name = self.random_worker();
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.faulty_until_ms = until_ms;
                }
            }
            FaultKind::ZoneOut => self.set_random_zone_out(),
            FaultKind::CancelBurst => self.cancel_burst(),
            _ => {}
        }
    }

    fn kill_daemon(&mut self) {
        let index = self.random_daemon();
        self.daemons[index].alive = false;
        let restart_ms = self.now_ms + self.rng.random_range(500..20_000);
        self.queue.push(restart_ms, SoakEvent::StartDaemon(index));
    }

    /// Partitions one daemon from up to seven workers.
    fn partition_daemon(&mut self) {
        let index = self.random_daemon();
        let until_ms = self.now_ms + self.rng.random_range(500..50_000);
        for _ in 0..self.rng.random_range(1..8) {
            let worker = self.random_worker();
            self.partitions.insert((index, worker), until_ms);
        }
    }

    /// Removes a worker's VM and creates another in the same cell and zone up to 20 s later.
    fn replace_worker(&mut self) {
        let name = self.random_worker();
        let created_ms = self.now_ms + self.rng.random_range(0..20_000);
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        if worker.removed_ms.is_none() {
            worker.removed_ms = Some(self.now_ms);
            let (cell, zone) = (worker.cell, worker.zone.clone());
            self.add_worker(cell, zone.as_str(), created_ms);
        }
    }

    fn restart_worker(&mut self) {
        let name = self.random_worker();
        let now_ms = self.now_ms;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.restart(now_ms);
        }
    }

    fn set_random_zone_out(&mut self) {
        let index = self.rng.random_range(0..super::ZONES.len());
        let zone = ZoneName::try_from(super::ZONES[index]).expect("zone names are valid");
        self.store.set_zone_out(&zone, true, self.now_ms);
        let restored_ms = self.now_ms + self.rng.random_range(500..40_000);
        self.queue.push(restored_ms, SoakEvent::RestoreZone(zone));
    }

    fn random_daemon(&mut self) -> usize {
        self.rng.random_range(0..self.daemons.len())
    }

    fn random_worker(&mut self) -> WorkerName {
        let index = self.rng.random_range(0..self.workers.len());
        let name = self.workers.keys().nth(index);
        name.expect("the index is below the number of workers")
            .clone()
    }

    /// Ends all faults and restarts killed daemons. All tasks have to end from now on.
    fn end_faults(&mut self) {
        self.faults_ended = true;
        self.fault_plan.clear();
        self.store.unavailable_until_ms = 0;
        self.partitions.retain(|_, _| false);
        for index in 0..self.daemons.len() {
            self.daemons[index].frozen_until_ms = self.now_ms;
            self.start_daemon(index);
        }
        for (_, worker) in self.workers.iter_mut() {
            worker.faulty_until_ms = 0;
        }
        for zone in super::ZONES {
            let zone = ZoneName::try_from(zone).expect("zone names are valid");
            self.store.set_zone_out(&zone, false, self.now_ms);
        }
    }
}
