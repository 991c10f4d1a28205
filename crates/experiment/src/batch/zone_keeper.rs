//! Deals with a zone that leaves.

use std::collections::VecDeque;

use crate::DeploymentPlan;
use crate::PolicyFeature;
use crate::PolicySet;
use crate::batch::BatchWorld;
use crate::batch::task_placer::TaskPlacer;
use crate::plan::CHECKPOINT_BYTES_PER_MB;
use crate::plan::EventPlan;
use crate::plan::to_f64;
use crate::plan::to_u64;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::DrainStep;
use sapphirestile_placement::DrainTask;
use sapphirestile_placement::LinkPacer;
use sapphirestile_placement::drain_order;

/// The part of the 30 Mbit/s link that checkpoints may take.
const LINK_RATE_BYTES_PER_S: u64 = 2_600_000;
const LOCAL_RATE_BYTES_PER_S: u64 = 100_000_000;
const BURST_S: u64 = 2;
/// A zone is emptied evenly over this time, unless the link is too narrow.
const DRAIN_S: u64 = 120;

/// Empties a leaving zone.
pub(crate) struct ZoneKeeper {
    orders: bool,
    out: bool,
    moves: VecDeque<usize>,
    pacer: LinkPacer,
}

impl ZoneKeeper {
    /// All zones are in.
    pub(crate) fn new(policy: &PolicySet) -> Self {
        Self {
            orders: policy.has(PolicyFeature::DrainOrder),
            out: false,
            moves: VecDeque::new(),
            pacer: LinkPacer::new(0, 0),
        }
    }

    /// Follows the configuration and goes on emptying the zone.
    pub(crate) fn step(
        &mut self,
        now: MonoTime,
        placer: &mut TaskPlacer<'_>,
        world: &mut BatchWorld<'_>,
    ) {
        let events = world.events;
        let out = events.is_zone_out(now.as_millis() / 1_000);
        if out != self.out {
            self.out = out;
            for (worker, room) in placer.rooms.iter_mut().enumerate() {
                room.zone_out = out && DeploymentPlan::zone_of(worker) == events.zone;
            }
            if out {
                self.begin(&events, now, placer, world);
            }
        }
        while let Some(task) = self.moves.front().copied() {
            let memory_mb = placer.assigned[task].map_or(0, |row| row.memory_mb);
            if self.orders && !self.pacer.admit(checkpoint_bytes(memory_mb), now) {
                break;
            }
            self.moves.pop_front();
            if placer.assigned[task].is_some() {
                world.send_checkpoint(task);
            }
        }
    }

    fn begin(
        &mut self,
        events: &EventPlan,
        now: MonoTime,
        placer: &mut TaskPlacer<'_>,
        world: &mut BatchWorld<'_>,
    ) {
        let in_zone = |task: &usize| {
            placer.assigned[*task]
                .is_some_and(|row| DeploymentPlan::zone_of(row.worker) == events.zone)
        };
        let tasks = (0..placer.assigned.len())
            .filter(in_zone)
            .collect::<Vec<_>>();
        if !self.orders {
            self.moves = tasks.into();
            return;
        }
        let most = if DeploymentPlan::is_remote(events.zone) {
            LINK_RATE_BYTES_PER_S
        } else {
            LOCAL_RATE_BYTES_PER_S
        };
        let bytes = tasks.iter().filter_map(|task| placer.assigned[*task]);
        let bytes = bytes
            .map(|row| checkpoint_bytes(row.memory_mb))
            .sum::<u64>();
        let rate = (bytes / DRAIN_S).clamp(1, most);
        self.pacer = LinkPacer::new(rate, rate * BURST_S);
        let views = tasks
            .iter()
            .map(|task| drain_view(*task, now, placer, world));
        let left_ms = crate::plan::ZONE_NOTICE_S * 1_000;
        for step in drain_order(&views.collect::<Vec<_>>(), left_ms) {
            match step {
                DrainStep::Move { index: place } | DrainStep::LetFinish { index: place } => {
                    self.moves.push_back(tasks[place]);
                }
                DrainStep::Restart { index: place } => restart(tasks[place], now, placer, world),
            }
        }
    }
}

fn restart(task: usize, now: MonoTime, placer: &mut TaskPlacer<'_>, world: &mut BatchWorld<'_>) {
    let job = world.tasks[task].job;
    world.stop(task, false);
    world.evictions += 1;
    placer.release(job, task);
    placer.requeue(job, task, now);
}

fn drain_view(
    task: usize,
    now: MonoTime,
    placer: &TaskPlacer<'_>,
    world: &BatchWorld<'_>,
) -> DrainTask {
    let job = world.tasks[task].job;
    let Some(row) = placer.assigned[task] else {
        return DrainTask {
            unsaved_cpu_us: 0,
            checkpoint_bytes: 0,
            remaining_ms: None,
            urgent: false,
        };
    };
    let run_ms = now.millis_since(row.started);
    DrainTask {
        unsaved_cpu_us: run_ms * row.given.cpu_milli,
        checkpoint_bytes: checkpoint_bytes(row.memory_mb),
        remaining_ms: placer.runs[job].remaining_ms(run_ms),
        urgent: world.jobs[job].urgent,
    }
}

fn checkpoint_bytes(memory_mb: u64) -> u64 {
    to_u64(to_f64(memory_mb) * CHECKPOINT_BYTES_PER_MB)
}
