//! Random faults at each tick.

use rand::Rng;

use crate::daemon_role::DaemonRole;
use crate::simulated_cluster::DAEMONS;
use crate::simulated_cluster::SimulatedCluster;
use crate::simulated_cluster::ZONES;
use crate::simulated_daemon::SimulatedDaemon;

const KILLS_PER_S: f64 = 0.03;
const FREEZES_PER_S: f64 = 0.06;
const COMMIT_FREEZES_PER_S: f64 = 0.2;
const OUTAGES_PER_S: f64 = 0.03;
const CUTS_PER_S: f64 = 0.06;
const LAPSES_PER_S: f64 = 0.3;
const WORKER_LOSSES_PER_S: f64 = 0.012;
const WORKER_RESTARTS_PER_S: f64 = 0.02;
const ZONE_CHANGES_PER_S: f64 = 0.06;
const RIVAL_CLAIMS_PER_S: f64 = 0.03;
const CANCELLATIONS_PER_S: f64 = 0.01;
const TICKS_PER_S: f64 = 20.0;

impl SimulatedCluster {
    pub(super) fn inject_faults(&mut self) {
        self.inject_daemon_faults();
        self.inject_worker_faults();
        if self.occurs(OUTAGES_PER_S) {
            self.counts.outages += 1;
            self.outage_until = self.now.plus_millis(self.rng.random_range(500..9_000));
        }
        self.freeze_committing_owner();
        let warned = self.zone_change_at.take_if(|at| *at <= self.now);
        let changes = warned.is_some() || self.occurs(ZONE_CHANGES_PER_S);
        if changes && !self.store.down {
            self.toggle_zone();
        }
        if self.occurs(CANCELLATIONS_PER_S) {
            self.cancel_some_job();
        }
    }

    /// Whether an event with a mean rate of `per_s` per second occurs in this tick.
    pub(super) fn occurs(&mut self, per_s: f64) -> bool {
        self.rng.random_bool(per_s / TICKS_PER_S)
    }

    fn inject_daemon_faults(&mut self) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        if self.occurs(KILLS_PER_S) {
            self.counts.kills += 1;
            let until = self.now.plus_millis(self.rng.random_range(200..8_000));
            self.daemons[daemon].kill(until);
        }
        if self.occurs(FREEZES_PER_S) {
            self.counts.freezes += 1;
            let until = self.now.plus_millis(self.rng.random_range(100..14_000));
            self.daemons[daemon].freeze(self.now, until);
        }
        let idle = matches!(self.daemons[daemon].role, DaemonRole::Idle);
        let able = idle && self.daemons[daemon].acts(self.now) && !self.store.down;
        if self.occurs(RIVAL_CLAIMS_PER_S) && able {
            self.counts.rival_claims += 1;
            self.claim_cell(daemon);
        }
    }

    /// Freezes an owner with a commit in flight, and changes a zone during the freeze.
    fn freeze_committing_owner(&mut self) {
        if !self.occurs(COMMIT_FREEZES_PER_S) {
            return;
        }
        let now = self.now;
        let until = now.plus_millis(self.rng.random_range(3_200..5_000));
        let committing = |daemon: &&mut SimulatedDaemon| {
            let DaemonRole::Owning(cell) = &daemon.role else {
                return false;
            };
            daemon.acts(now) && cell.in_flight.is_some()
        };
        if let Some(daemon) = self.daemons.iter_mut().find(committing) {
            daemon.freeze(now, until);
            self.counts.freezes += 1;
            self.zone_change_at = Some(now.plus_millis(100));
        }
    }

    fn inject_worker_faults(&mut self) {
        let index = self.rng.random_range(0..self.workers.len());
        if self.workers[index].lost.is_some() {
            return;
        }
        if self.occurs(CUTS_PER_S) {
            self.counts.cuts += 1;
            let until = self.now.plus_millis(self.rng.random_range(500..20_000));
            let from_all = self.rng.random_bool(0.5);
            for daemon in 0..DAEMONS {
                if from_all || self.rng.random_bool(0.5) {
                    self.workers[index].unreachable_until[daemon] = until;
                }
            }
        }
        if self.occurs(LAPSES_PER_S) {
            self.counts.lapses += self.workers[index].expire_leases();
        }
        if self.occurs(WORKER_RESTARTS_PER_S) {
            self.counts.worker_restarts += 1;
            self.workers[index].restart();
        }
        if self.occurs(WORKER_LOSSES_PER_S) {
            self.counts.lost_workers += 1;
            self.workers[index].tasks.clear();
            self.workers[index].lost = Some(self.now);
            let zone = self.workers[index].zone;
            self.add_worker(zone);
        }
    }

    fn toggle_zone(&mut self) {
        let mut out = *self.zones.last().expect("there is a first configuration");
        let zone = self.rng.random_range(0..ZONES);
        out[zone] = !out[zone];
        self.counts.zone_changes += 1;
        self.counts.both_zones_out += u32::from(out.iter().all(|is_out| *is_out));
        self.change_zones(out);
    }
}
