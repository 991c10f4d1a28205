//! The times of the disruptions in a run.

use crate::plan::deployment_plan::WORKER_COUNT;
use crate::plan::deployment_plan::ZONE_COUNT;

/// Time between a zone being taken out of service and the shutdown of its
/// machines, in seconds.
pub(crate) const ZONE_NOTICE_S: u64 = 180;
const BROKEN_WORKER_COUNT: u64 = 2;
const PERCENT: u64 = 100;

/// The disruptions of one run; times are in seconds since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventSchedule {
    /// The length of the run.
    pub(crate) length_s: u64,
    /// The index of the zone that is taken out of service and drained.
    pub(crate) drained_zone: usize,
    /// When operators take the zone out of service.
    pub(crate) zone_out_s: u64,
    /// When operators put the zone back into service.
    pub(crate) zone_in_s: u64,
    /// When the broken workers begin to fail their tasks.
    pub(crate) broken_from_s: u64,
    /// When the broken workers work again.
    pub(crate) broken_until_s: u64,
    /// When one customer cancels most of its jobs.
    pub(crate) cancel_s: u64,
    seed: u64,
}

impl EventSchedule {
    /// Creates the schedule of a run of `length_s` seconds; `seed` determines the
    /// zone and the broken workers.
    pub(crate) fn new(seed: u64, length_s: u64) -> Self {
        let at = |percent| length_s * percent / PERCENT;
        Self {
            length_s,
            drained_zone: usize::try_from(seed).unwrap_or(0) % ZONE_COUNT,
            zone_out_s: at(35),
            zone_in_s: at(60),
            broken_from_s: at(10),
            broken_until_s: at(55),
            cancel_s: at(80),
            seed,
        }
    }

    /// Whether `worker` fails every task at `now_s`.
    pub(crate) fn is_broken(&self, worker: usize, now_s: u64) -> bool {
        let worker_count = u64::try_from(WORKER_COUNT).unwrap_or(1);
        let broken_worker = |number| (self.seed * 7 + number * 29) % worker_count;
        let worker = u64::try_from(worker).unwrap_or(0);
        (self.broken_from_s..self.broken_until_s).contains(&now_s)
            && (0..BROKEN_WORKER_COUNT).any(|number| broken_worker(number) == worker)
    }

    /// When the machines of the drained zone shut down.
    pub(crate) const fn zone_shutdown_s(&self) -> u64 {
        self.zone_out_s + ZONE_NOTICE_S
    }

    /// Whether the zone is out of service at `now_s`.
    pub(crate) const fn is_zone_out(&self, now_s: u64) -> bool {
        self.zone_out_s <= now_s && now_s < self.zone_in_s
    }

    /// Whether work done at `now_s` counts as work around the zone's outage: from
    /// its start until a tenth of the run after its end.
    pub(crate) const fn is_in_zone_window(&self, now_s: u64) -> bool {
        self.zone_out_s <= now_s && now_s < self.zone_in_s + self.length_s / 10
    }
}
