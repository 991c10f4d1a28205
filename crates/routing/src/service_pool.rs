//! The runners of one service that take work.

use std::sync::Arc;

use crate::RouteChoice;
use crate::RouteQuery;
use crate::RouteReach;
use crate::RouteRefusal;
use crate::RunnerGauge;
use crate::RunnerRow;
use crate::RunnerState;
use crate::SlotGuard;
use crate::split_mix::SplitMix;

/// The number of pairs of runners drawn before the scan.
const DRAWS_MAX: usize = 3;
/// Bounds the cost of a decision when nearly all runners are full.
const SCAN_ROWS_MAX: usize = 64;
const TRIAL_IN_FLIGHT_MAX: u32 = 1;
// A runner is hot when at least three quarters of its tokens are in use.
const HOT_NUMERATOR: u32 = 3;
const HOT_DENOMINATOR: u32 = 4;

/// The runners of one service that take work, by distance.
#[derive(Debug, Default)]
pub struct ServicePool {
    zone: Vec<Arc<RunnerRow>>,
    /// Includes the runners of `zone`.
    region: Vec<Arc<RunnerRow>>,
    remote: Vec<Arc<RunnerRow>>,
}

impl ServicePool {
    /// Adds a runner at its distance. The list of the daemon's region includes the
    /// runners of the daemon's zone.
    pub fn add(&mut self, row: Arc<RunnerRow>, reach: RouteReach) {
        match reach {
            RouteReach::Zone => {
                self.region.push(Arc::clone(&row));
                self.zone.push(row);
            }
            RouteReach::Region => self.region.push(row),
            RouteReach::Remote => self.remote.push(row),
        }
    }

    /// Chooses a runner and takes a slot on it.
    pub fn choose(&self, query: &RouteQuery<'_>) -> Result<RouteChoice, RouteRefusal> {
        if self.region.is_empty() && self.remote.is_empty() {
            return Err(RouteRefusal::NoRunner);
        }
        let mut random = SplitMix::new(query.random);
        let near = if self.zone.is_empty() {
            &self.region
        } else {
            &self.zone
        };
        if let Some(slot) = take_slot(near, &self.region, query, &mut random) {
            let reach = self.near_reach(&slot);
            return Ok(RouteChoice::new(slot, reach));
        }
        take_slot(&self.remote, &self.remote, query, &mut random)
            .map(|slot| RouteChoice::new(slot, RouteReach::Remote))
            .ok_or(RouteRefusal::NoSlot)
    }

    fn near_reach(&self, slot: &SlotGuard) -> RouteReach {
        let in_zone = |row: &Arc<RunnerRow>| row.zone == slot.row().zone;
        if self.zone.first().is_some_and(in_zone) {
            RouteReach::Zone
        } else {
            RouteReach::Region
        }
    }
}

/// Takes a slot on the better of two randomly drawn runners, the first from `near` and
/// the second from `all`. If the runners of all draws are full, takes a slot on the first
/// free runner of a bounded scan.
fn take_slot(
    near: &[Arc<RunnerRow>],
    all: &[Arc<RunnerRow>],
    query: &RouteQuery<'_>,
    random: &mut SplitMix,
) -> Option<SlotGuard> {
    if all.is_empty() {
        return None;
    }
    for _ in 0..DRAWS_MAX {
        let first = &near[random.next_below(near.len())];
        let second = &all[random.next_below(all.len())];
        let best = better_of(usable(first, query), usable(second, query));
        if let Some(slot) = best.and_then(SlotGuard::take) {
            return Some(slot);
        }
    }
    scan(all, query, random.next_below(all.len()))
}

fn scan(rows: &[Arc<RunnerRow>], query: &RouteQuery<'_>, start: usize) -> Option<SlotGuard> {
    let (head, tail) = rows.split_at(start);
    tail.iter()
        .chain(head)
        .take(SCAN_ROWS_MAX)
        .filter_map(|row| usable(row, query))
        .find_map(SlotGuard::take)
}

fn usable<'t>(row: &'t Arc<RunnerRow>, query: &RouteQuery<'_>) -> Option<&'t Arc<RunnerRow>> {
    let (tokens, in_flight) = row.gauge.occupancy();
    let limit = match row.gauge.state() {
        RunnerState::Open => tokens,
        RunnerState::Trial => tokens.min(TRIAL_IN_FLIGHT_MAX),
        RunnerState::Ejected => 0,
    };
    let avoided = query.avoid == Some(row.runner.as_str());
    (in_flight < limit && !avoided).then_some(row)
}

fn better_of<'t>(
    first: Option<&'t Arc<RunnerRow>>,
    second: Option<&'t Arc<RunnerRow>>,
) -> Option<&'t Arc<RunnerRow>> {
    let (Some(one), Some(other)) = (first, second) else {
        return first.or(second);
    };
    if rank(&other.gauge) < rank(&one.gauge) {
        second
    } else {
        first
    }
}

/// The sort key of a runner; the lowest is best. As in the Prequal load balancer, runners
/// that are not hot come first and are ranked by latency; hot ones are ranked by requests
/// in flight.
fn rank(gauge: &RunnerGauge) -> (bool, u32, u64) {
    let (tokens, in_flight) = gauge.occupancy();
    let hot = in_flight * HOT_DENOMINATOR >= tokens * HOT_NUMERATOR;
    let load = if hot { in_flight } else { 0 };
    (hot, load, gauge.latency_us())
}
