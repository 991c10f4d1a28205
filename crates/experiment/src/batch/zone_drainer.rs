//! Moves tasks out of a zone that is taken out of service.

use std::collections::VecDeque;

use crate::DeploymentPlan;
use crate::PolicyFeature;
use crate::PolicyVariant;
use crate::batch::SimulatedCluster;
use crate::batch::task_placer::TaskPlacer;
use crate::plan::CHECKPOINT_BYTES_PER_MB;
use crate::plan::EventSchedule;
use crate::plan::to_f64;
use crate::plan::to_u64;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::DrainStep;
use sapphirestile_placement::DrainTask;
use sapphirestile_placement::LinkPacer;
use sapphirestile_placement::drain_order;

/// The part of the 30 Mbit/s link that checkpoints may use.
const REMOTE_RATE_BYTES_PER_S: u64 = 2_600_000;
/// The limit for a zone in the callers' region, which does not use the link.
const LOCAL_RATE_BYTES_PER_S: u64 = 100_000_000;
/// Data that may be sent at once, as seconds at the rate of the drain.
const BURST_S: u64 = 2;
/// Checkpoints are spread evenly over this time, unless the link is too narrow.
const DRAIN_S: u64 = 120;

/// Drains a zone that is out of service by sending checkpoints of its tasks.
///
/// Without [`PolicyFeature::DrainOrder`] all checkpoints are sent at once.
pub(crate) struct ZoneDrainer {
    /// Whether tasks are ordered and paced.
    is_ordered: bool,
    /// Whether the zone is out of service.
    is_out: bool,
    /// Tasks whose checkpoint is still to be sent, in order.
    pending_checkpoints: VecDeque<usize>,
    pacer: LinkPacer,
}

impl ZoneDrainer {
    /// Creates a drainer while all zones are in service.
    pub(crate) fn new(policy: &PolicyVariant) -> Self {
        Self {
            is_ordered: policy.has(PolicyFeature::DrainOrder),
            is_out: false,
            pending_checkpoints: VecDeque::new(),
            pacer: LinkPacer::new(0, 0),
        }
    }

    /// Starts a drain when the zone goes out of service, and sends the checkpoints that
    /// the pacing allows at `now`.
    pub(crate) fn step(
        &mut self,
        now: MonoTime,
        placer: &mut TaskPlacer<'_>,
        cluster: &mut SimulatedCluster<'_>,
    ) {
        let schedule = cluster.schedule;
        let is_out = schedule.is_zone_out(now.as_millis() / 1_000);
        if is_out != self.is_out {
            self.is_out = is_out;
            for (worker, candidate) in placer.candidates.iter_mut().enumerate() {
                candidate.zone_out =
                    is_out && DeploymentPlan::zone_of(worker) == schedule.drained_zone;
            }
            if is_out {
                self.start_drain(&schedule, now, placer, cluster);
            }
        }
        while let Some(task) = self.pending_checkpoints.front().copied() {
            let memory_mb = placer.assignments[task].map_or(0, |assignment| assignment.memory_mb);
            if self.is_ordered && !self.pacer.admit(checkpoint_bytes(memory_mb), now) {
                break;
            }
            self.pending_checkpoints.pop_front();
            if placer.assignments[task].is_some() {
                cluster.send_checkpoint(task);
            }
        }
    }

    fn start_drain(
        &mut self,
        schedule: &EventSchedule,
        now: MonoTime,
        placer: &mut TaskPlacer<'_>,
        cluster: &mut SimulatedCluster<'_>,
    ) {
        let in_zone = |task: &usize| {
            placer.assignments[*task].is_some_and(|assignment| {
                DeploymentPlan::zone_of(assignment.worker) == schedule.drained_zone
            })
        };
        let tasks = (0..placer.assignments.len())
            .filter(in_zone)
            .collect::<Vec<_>>();
        if !self.is_ordered {
            self.pending_checkpoints = tasks.into();
            return;
        }
        let max_rate = if DeploymentPlan::is_remote(schedule.drained_zone) {
            REMOTE_RATE_BYTES_PER_S
        } else {
            LOCAL_RATE_BYTES_PER_S
        };
        let bytes = tasks.iter().filter_map(|task| placer.assignments[*task]);
        let bytes = bytes
            .map(|assignment| checkpoint_bytes(assignment.memory_mb))
            .sum::<u64>();
        let rate = (bytes / DRAIN_S).clamp(1, max_rate);
        self.pacer = LinkPacer::new(rate, rate * BURST_S);
        let drain_tasks = tasks
            .iter()
            .map(|task| drain_task(*task, now, placer, cluster));
        let left_ms = crate::plan::ZONE_NOTICE_S * 1_000;
        for step in drain_order(&drain_tasks.collect::<Vec<_>>(), left_ms) {
            match step {
                DrainStep::Move { index: nth } | DrainStep::LetFinish { index: nth } => {
                    self.pending_checkpoints.push_back(tasks[nth]);
                }
                DrainStep::Restart { index: nth } => restart(tasks[nth], now, placer, cluster),
            }
        }
    }
}

/// Stops a task without a checkpoint and queues it again.
fn restart(
    task: usize,
    now: MonoTime,
    placer: &mut TaskPlacer<'_>,
    cluster: &mut SimulatedCluster<'_>,
) {
    let job = cluster.tasks[task].job;
    cluster.stop(task, false);
    cluster.evictions += 1;
    placer.release(job, task);
    placer.requeue(job, task, now);
}

fn drain_task(
    task: usize,
    now: MonoTime,
    placer: &TaskPlacer<'_>,
    cluster: &SimulatedCluster<'_>,
) -> DrainTask {
    let job = cluster.tasks[task].job;
    let Some(assignment) = placer.assignments[task] else {
        return DrainTask {
            unsaved_cpu_us: 0,
            checkpoint_bytes: 0,
            remaining_ms: None,
            urgent: false,
        };
    };
    let run_ms = now.millis_since(assignment.started);
    DrainTask {
        unsaved_cpu_us: run_ms * assignment.allocated.cpu_milli,
        checkpoint_bytes: checkpoint_bytes(assignment.memory_mb),
        remaining_ms: placer.runtimes[job].expected_remaining_ms(run_ms),
        urgent: cluster.jobs[job].urgent,
    }
}

/// The estimated size of a checkpoint of a task that uses `memory_mb`.
fn checkpoint_bytes(memory_mb: u64) -> u64 {
    to_u64(to_f64(memory_mb) * CHECKPOINT_BYTES_PER_MB)
}
