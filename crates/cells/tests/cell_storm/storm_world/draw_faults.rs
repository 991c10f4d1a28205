//! Faults, drawn anew at each tick.

use rand::Rng;

use crate::daemon_role::DaemonRole;
use crate::storm_daemon::StormDaemon;
use crate::storm_world::DAEMONS;
use crate::storm_world::StormWorld;
use crate::storm_world::ZONES;

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

impl StormWorld {
    pub(super) fn draw_faults(&mut self) {
        self.strike_daemons();
        self.strike_workers();
        if self.strikes(OUTAGES_PER_S) {
            self.counts.outages += 1;
            self.outage_until = self.now.plus_millis(self.rng.random_range(500..9_000));
        }
        self.freeze_with_commit();
        let warned = self.zone_change_at.take_if(|at| *at <= self.now);
        let changes = warned.is_some() || self.strikes(ZONE_CHANGES_PER_S);
        if changes && !self.store.down {
            self.move_zone();
        }
        if self.strikes(CANCELLATIONS_PER_S) {
            self.cancel_some_job();
        }
    }

    /// Whether an event that comes `per_s` times a second comes in this tick.
    pub(super) fn strikes(&mut self, per_s: f64) -> bool {
        self.rng.random_bool(per_s / TICKS_PER_S)
    }

    fn strike_daemons(&mut self) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        if self.strikes(KILLS_PER_S) {
            self.counts.kills += 1;
            let until = self.now.plus_millis(self.rng.random_range(200..8_000));
            self.daemons[daemon].kill(until);
        }
        if self.strikes(FREEZES_PER_S) {
            self.counts.freezes += 1;
            let until = self.now.plus_millis(self.rng.random_range(100..14_000));
            self.daemons[daemon].freeze(self.now, until);
        }
        let idle = matches!(self.daemons[daemon].role, DaemonRole::Idle);
        let able = idle && self.daemons[daemon].acts(self.now) && !self.store.down;
        if self.strikes(RIVAL_CLAIMS_PER_S) && able {
            self.counts.rival_claims += 1;
            self.claim_cell(daemon);
        }
    }

    /// Freezes an owner whose commit is on its way, and moves a zone meanwhile.
    fn freeze_with_commit(&mut self) {
        if !self.strikes(COMMIT_FREEZES_PER_S) {
            return;
        }
        let now = self.now;
        let until = now.plus_millis(self.rng.random_range(3_200..5_000));
        let committing = |daemon: &&mut StormDaemon| {
            let DaemonRole::Owning(cell) = &daemon.role else {
                return false;
            };
            daemon.acts(now) && cell.flight.is_some()
        };
        if let Some(daemon) = self.daemons.iter_mut().find(committing) {
            daemon.freeze(now, until);
            self.counts.freezes += 1;
            self.zone_change_at = Some(now.plus_millis(100));
        }
    }

    fn strike_workers(&mut self) {
        let place = self.rng.random_range(0..self.workers.len());
        if self.workers[place].lost.is_some() {
            return;
        }
        if self.strikes(CUTS_PER_S) {
            self.counts.cuts += 1;
            let until = self.now.plus_millis(self.rng.random_range(500..20_000));
            let from_all = self.rng.random_bool(0.5);
            for daemon in 0..DAEMONS {
                if from_all || self.rng.random_bool(0.5) {
                    self.workers[place].cut_until[daemon] = until;
                }
            }
        }
        if self.strikes(LAPSES_PER_S) {
            self.counts.lapses += self.workers[place].lapse();
        }
        if self.strikes(WORKER_RESTARTS_PER_S) {
            self.counts.worker_restarts += 1;
            self.workers[place].restart();
        }
        if self.strikes(WORKER_LOSSES_PER_S) {
            self.counts.lost_workers += 1;
            self.workers[place].tasks.clear();
            self.workers[place].lost = Some(self.now);
            let zone = self.workers[place].zone;
            self.add_worker(zone);
        }
    }

    fn move_zone(&mut self) {
        let mut out = *self.zones.last().expect("there is a first configuration");
        let zone = self.rng.random_range(0..ZONES);
        out[zone] = !out[zone];
        self.counts.zone_changes += 1;
        self.counts.both_zones_out += u32::from(out.iter().all(|is_out| *is_out));
        self.change_zones(out);
    }
}
