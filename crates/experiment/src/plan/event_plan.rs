//! When things happen in a run.

use crate::plan::deployment_plan::WORKER_COUNT;
use crate::plan::deployment_plan::ZONE_COUNT;

/// Seconds that machines of a zone go on after it was taken out.
pub(crate) const ZONE_NOTICE_S: u64 = 180;
const BROKEN_WORKERS: u64 = 2;
const PERCENT: u64 = 100;

/// The events of one run; times are in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventPlan {
    /// The length of the run.
    pub(crate) length_s: u64,
    /// The zone that leaves.
    pub(crate) zone: usize,
    /// When operators take the zone out.
    pub(crate) zone_out_s: u64,
    /// When operators put it back in.
    pub(crate) zone_in_s: u64,
    /// From when on some workers fail everything.
    pub(crate) broken_from_s: u64,
    /// Until when they do.
    pub(crate) broken_until_s: u64,
    /// When a customer cancels most of its jobs.
    pub(crate) cancel_s: u64,
    seed: u64,
}

impl EventPlan {
    /// The events of a run of `length_s` seconds.
    pub(crate) fn new(seed: u64, length_s: u64) -> Self {
        let at = |percent| length_s * percent / PERCENT;
        Self {
            length_s,
            zone: usize::try_from(seed).unwrap_or(0) % ZONE_COUNT,
            zone_out_s: at(35),
            zone_in_s: at(60),
            broken_from_s: at(10),
            broken_until_s: at(55),
            cancel_s: at(80),
            seed,
        }
    }

    /// Whether `worker` fails everything at `now_s`.
    pub(crate) fn is_broken(&self, worker: usize, now_s: u64) -> bool {
        let workers = u64::try_from(WORKER_COUNT).unwrap_or(1);
        let hit = |number| (self.seed * 7 + number * 29) % workers;
        let chosen = u64::try_from(worker).unwrap_or(0);
        (self.broken_from_s..self.broken_until_s).contains(&now_s)
            && (0..BROKEN_WORKERS).any(|number| hit(number) == chosen)
    }

    /// When the machines of the zone stop.
    pub(crate) const fn zone_end_s(&self) -> u64 {
        self.zone_out_s + ZONE_NOTICE_S
    }

    /// Whether operators have the zone out.
    pub(crate) const fn is_zone_out(&self, now_s: u64) -> bool {
        self.zone_out_s <= now_s && now_s < self.zone_in_s
    }

    /// Whether `now_s` counts as work done through departure and return.
    pub(crate) const fn is_zone_window(&self, now_s: u64) -> bool {
        self.zone_out_s <= now_s && now_s < self.zone_in_s + self.length_s / 10
    }
}
