//! Evictions for urgent work.

use crate::planner::EvictionRequest;
use crate::planner::PlanView;
use crate::planner::UrgentReservation;
use crate::state::TaskEntry;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::PlacementPolicy;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RunningTask;
use sapphirestile_placement::choose_victims;

/// A worker is reserved this long for the urgent job that tasks are stopped for.
const RESERVATION_MS: u64 = 10_000;

/// Picks tasks of the backlog to stop when an urgent task fits nowhere, and reserves
/// their worker for it meanwhile.
#[derive(Clone, Debug, Default)]
pub struct EvictionPlanner {
    reservations: SortedTable<WorkerName, UrgentReservation>,
}

impl EvictionPlanner {
    /// Drops reservations that have ended, and marks the reserved workers.
    pub fn mark_reserved(&mut self, candidates: &mut [CandidateWorker], now: MonoTime) {
        self.reservations
            .retain(|_, reservation| reservation.until > now);
        for candidate in candidates {
            let reservation = self.reservations.get(&candidate.name);
            candidate.reserved_for = reservation.map(|reservation| reservation.job.clone());
        }
    }

    /// Ends the reservations of a job that was placed.
    pub fn release(&mut self, job: &JobName) {
        self.reservations
            .retain(|_, reservation| reservation.job != *job);
    }

    /// Picks the tasks to stop for an urgent task of `job`; none while a worker is already
    /// reserved for the job.
    pub fn plan_evictions(
        &mut self,
        job: &JobName,
        request: &PlacementRequest<'_>,
        view: &PlanView<'_>,
        candidates: &[CandidateWorker],
        policy: &PlacementPolicy,
    ) -> Vec<EvictionRequest> {
        if self
            .reservations
            .values()
            .any(|reservation| reservation.job == *job)
        {
            return Vec::new();
        }
        let (names, running) = running_tasks(view, candidates);
        let Some(choice) = choose_victims(candidates, &running, request, policy) else {
            return Vec::new();
        };
        let worker = candidates[choice.worker_index].name.clone();
        let reservation = UrgentReservation {
            job: job.clone(),
            until: view.now.plus_millis(RESERVATION_MS),
        };
        self.reservations.insert(worker.clone(), reservation);
        let requests = choice.tasks.iter().map(|index| EvictionRequest {
            task: names[*index].clone(),
            worker: worker.clone(),
            reason: format!("{choice}, for {job}"),
        });
        requests.collect()
    }
}

/// The running tasks that were not asked to stop yet, and their names.
fn running_tasks(
    view: &PlanView<'_>,
    candidates: &[CandidateWorker],
) -> (Vec<TaskName>, Vec<RunningTask>) {
    let (mut names, mut running) = (Vec::new(), Vec::new());
    for (task, entry) in view.state.tasks().iter() {
        let TaskEntry::Assigned(cycle) = entry else {
            continue;
        };
        let phase = cycle.phase();
        let index = candidates.binary_search_by(|candidate| candidate.name.cmp(&phase.worker));
        let (Ok(worker_index), false) = (index, view.stopping.contains(task)) else {
            continue;
        };
        let progress = view.state.jobs().get(&task.job);
        names.push(task.clone());
        running.push(RunningTask {
            worker_index,
            allocated: phase.size,
            urgent: progress.is_some_and(|progress| progress.spec.urgent),
        });
    }
    (names, running)
}
