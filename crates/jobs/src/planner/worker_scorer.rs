//! Scoring of workers for a task.

mod best_effort;
mod slow_start;

use crate::advice::AdviceCache;
use crate::advice::StepIdentity;
use crate::pacing::InterferenceModel;
use crate::pacing::ServingRun;
use crate::planner::RunHistory;
use crate::planner::SpareWorkers;
use crate::planner::TaskDemand;
use crate::worker::TrackedWorker;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

/// A worker whose latest response is older than this gets no new tasks, in milliseconds. An
/// older estimate of its clock could put the end of a lease beyond the authority of the owner.
const RESPONSE_AGE_MAX_MS: u64 = 2_500;

/// Cost of placing a latency-sensitive task on a worker without such runs, compared with
/// the costs of mixing it with runs of other jobs.
const EMPTY_WORKER_COST: i64 = 1;

/// Cost of each run of another job with the same image, whose load peaks at other times.
const OTHER_JOB_COST: i64 = 1;

/// Cost of each run of another image.
const OTHER_IMAGE_COST: i64 = 3;

/// Cost of a worker that is used only if there is no other.
const LAST_RESORT_COST: i64 = 1_000;

/// Bonus of a worker on the rack that holds the data of the step.
const DATA_RACK_BONUS: i64 = 100 * SCORE_SCALE;

/// Score of the whole processor time of a worker.
const SCORE_SCALE: i64 = 10_000;

/// Scores workers for tasks, from a snapshot of what the owner knows.
#[derive(Clone, Copy, Debug)]
pub struct WorkerScorer<'a> {
    /// Availability zones that get no new tasks.
    pub zones_out: &'a [ZoneName],
    /// How much images interfere with each other.
    pub interference: &'a InterferenceModel,
    /// Answers of the advisor, for tasks that need tickets.
    pub advice: &'a AdviceCache,
    /// Workers beyond those that are kept for certain tasks.
    pub spare: SpareWorkers,
    /// Workers that are held for long-running tasks.
    pub held: &'a SortedTable<WorkerName, ()>,
    /// Workers on which what becomes free is left to long-running tasks of any cell that have
    /// to run again and find no worker.
    pub awaited: &'a SortedTable<WorkerName, ()>,
    /// Whether jobs that are too young to be overdue wait with nothing running.
    pub has_new_waits: bool,
    /// Time of the snapshot.
    pub now: MonoTime,
}

impl WorkerScorer<'_> {
    /// Whether a worker may be given any task: it is listed, responsive, not leaving, not
    /// excluded by its breaker and not in a drained zone, and it is known what it has and what
    /// its runs take.
    #[must_use]
    pub fn is_usable(&self, worker: &TrackedWorker) -> bool {
        let Some(entry) = &worker.entry else {
            return false;
        };
        worker.is_listed
            && !entry.is_leaving
            && worker.known.is_some()
            && !worker.has_outdated_entry()
            && !worker.is_unresponsive()
            && !worker.has_unknown_load
            && self.now.millis_since(worker.last_response) <= RESPONSE_AGE_MAX_MS
            && worker.breaker.admits_tasks(self.now)
            && !self.zones_out.contains(&entry.zone)
    }

    /// Score of a worker for a task, the higher the better; `None` if the task cannot start
    /// there.
    ///
    /// Tasks that reserve processor time are packed: the worker with the least free capacity
    /// scores highest. Latency-sensitive tasks are grouped by image, since each image is
    /// affected only by some others. A best-effort task is placed only where all the
    /// processor time that it can use is idle, since two tasks at half pace would both be
    /// late, and where no latency-sensitive run would become too slow; the worker with the
    /// least interference scores highest.
    #[must_use]
    pub fn score(&self, demand: &TaskDemand<'_>, worker: &TrackedWorker) -> Option<i64> {
        if demand.needs_ticket && !self.has_ticket(demand, worker) {
            return None;
        }
        self.capacity_score(demand, worker)
    }

    /// Whether a worker may run the task, whatever its room: it has the service, the label and
    /// the ticket, no run of the task, and not too many of its step.
    #[must_use]
    pub fn is_suitable(&self, demand: &TaskDemand<'_>, worker: &TrackedWorker) -> bool {
        is_eligible(demand, worker) && (!demand.needs_ticket || self.has_ticket(demand, worker))
    }

    fn has_ticket(&self, demand: &TaskDemand<'_>, worker: &TrackedWorker) -> bool {
        let Some(entry) = &worker.entry else {
            return false;
        };
        let (step, incarnation) = (StepIdentity::from(demand.task), worker.incarnation());
        let ticket = self.advice.ticket(step, &entry.name, incarnation, self.now);
        ticket.is_some()
    }

    /// Whether the worker is kept for long-running tasks that have to run again: those that
    /// have not run may not take the last workers without long-running runs, nor those that are
    /// awaited, and only those that have run may take what becomes free on a worker that is
    /// held. First runs that have waited for long are kept only from last workers that shorter
    /// tasks use, and from those that are held.
    #[must_use]
    pub fn is_kept_from(&self, demand: &TaskDemand<'_>, worker: &TrackedWorker) -> bool {
        let step = demand.step;
        if step.is_long_running && demand.history == RunHistory::Started {
            return false;
        }
        let yields = demand.history.yields_to_restarts();
        let is_last = !self.spare.for_first_runs && !worker.has_long_running();
        let is_last_kept = is_last && (yields || !worker.runs.is_empty());
        let is_kept = is_last_kept || (yields && is_among(self.awaited, worker));
        let is_held = is_among(self.held, worker);
        (step.is_long_running && is_kept) || (!step.is_best_effort && is_held)
    }

    /// Like [`score`](Self::score), without checking for a ticket.
    #[must_use]
    pub fn capacity_score(&self, demand: &TaskDemand<'_>, worker: &TrackedWorker) -> Option<i64> {
        let entry = worker.entry.as_ref()?;
        let is_usable = self.is_usable(worker) && !self.is_kept_from(demand, worker);
        if !is_usable || !is_eligible(demand, worker) {
            return None;
        }
        let step = demand.step;
        if !demand.reserved().fits(&entry.capacity.minus(worker.used())) {
            return None;
        }
        let capacity = entry.capacity.cpu_milli.max(1);
        if step.is_best_effort {
            return self.score_or_share(demand, capacity, worker);
        }
        let free = capacity.saturating_sub(worker.used().cpu_milli);
        let mixing_cost = self.mixing_cost(demand, worker);
        Some(data_rack_bonus(demand, worker) - share_of(free, capacity) - mixing_cost * SCORE_SCALE)
    }

    /// Cost of mixing a latency-sensitive task with the runs of other jobs and images on a
    /// worker. A worker without latency-sensitive runs is cheaper than a mixture only while
    /// enough of them remain for best-effort tasks.
    fn mixing_cost(&self, demand: &TaskDemand<'_>, worker: &TrackedWorker) -> i64 {
        if demand.step.latency_target_ms.is_none() {
            return 0;
        }
        let serving = worker.serving_runs();
        if serving.is_empty() {
            return if self.spare.for_latency {
                EMPTY_WORKER_COST
            } else {
                LAST_RESORT_COST
            };
        }
        let cost = |run: &ServingRun| {
            if run.job == demand.task.job {
                0
            } else if Some(run.image) == demand.image {
                OTHER_JOB_COST
            } else {
                OTHER_IMAGE_COST
            }
        };
        serving.iter().map(cost).sum()
    }
}

/// Bonus of a worker on the rack that holds the data of the step. Tasks on other racks
/// run several times as long.
fn data_rack_bonus(demand: &TaskDemand<'_>, worker: &TrackedWorker) -> i64 {
    let rack = demand.step.data_rack.as_ref();
    if rack.is_some_and(|rack| worker.has_label(rack)) {
        DATA_RACK_BONUS
    } else {
        0
    }
}

fn is_among(names: &SortedTable<WorkerName, ()>, worker: &TrackedWorker) -> bool {
    let entry = worker.entry.as_ref();
    entry.is_some_and(|entry| names.contains(&entry.name))
}

fn is_eligible(demand: &TaskDemand<'_>, worker: &TrackedWorker) -> bool {
    let Some(entry) = &worker.entry else {
        return false;
    };
    *entry.service == *demand.service
        && !worker.runs.contains(&demand.task)
        && has_label(demand, &entry.labels)
        && !is_at_limit(demand, worker)
}

fn has_label(demand: &TaskDemand<'_>, labels: &[Box<str>]) -> bool {
    let required = demand.step.required_label.as_ref();
    required.is_none_or(|label| labels.contains(label))
}

fn is_at_limit(demand: &TaskDemand<'_>, worker: &TrackedWorker) -> bool {
    let limit = demand.step.per_worker_max;
    limit.is_some_and(|limit| worker.count_of_step(&demand.task) >= limit)
}

/// A part of a worker's processor time, from 0 to [`SCORE_SCALE`] for the whole.
fn share_of(part: u64, total: u64) -> i64 {
    let part = i64::try_from(part).unwrap_or(i64::MAX / SCORE_SCALE);
    let total = i64::try_from(total).unwrap_or(i64::MAX);
    part.saturating_mul(SCORE_SCALE) / total
}
