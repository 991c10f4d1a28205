//! Room for urgent work.

use crate::planner::EvictionOrder;
use crate::planner::PlanView;
use crate::planner::RoomHold;
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

const HOLD_MS: u64 = 10_000;

/// Stops tasks of the backlog where an urgent task finds no room, and holds the
/// worker for it meanwhile.
#[derive(Clone, Debug, Default)]
pub struct RoomMaker {
    holds: SortedTable<WorkerName, RoomHold>,
}

impl RoomMaker {
    /// Marks the workers that are held.
    pub fn mark(&mut self, rooms: &mut [CandidateWorker], now: MonoTime) {
        self.holds.retain(|_, hold| hold.until > now);
        for room in rooms {
            let hold = self.holds.get(&room.name);
            room.reserved_for = hold.map(|hold| hold.job.clone());
        }
    }

    /// Ends the holds for a job that was placed.
    pub fn release(&mut self, job: &JobName) {
        self.holds.retain(|_, hold| hold.job != *job);
    }

    /// The tasks to stop for an urgent task of `job`; none while room is being
    /// made for the job already.
    pub fn make_room(
        &mut self,
        job: &JobName,
        request: &PlacementRequest<'_>,
        view: &PlanView<'_>,
        rooms: &[CandidateWorker],
        policy: &PlacementPolicy,
    ) -> Vec<EvictionOrder> {
        if self.holds.values().any(|hold| hold.job == *job) {
            return Vec::new();
        }
        let (names, running) = running_tasks(view, rooms);
        let Some(choice) = choose_victims(rooms, &running, request, policy) else {
            return Vec::new();
        };
        let worker = rooms[choice.worker_index].name.clone();
        let hold = RoomHold {
            job: job.clone(),
            until: view.now.plus_millis(HOLD_MS),
        };
        self.holds.insert(worker.clone(), hold);
        let orders = choice.tasks.iter().map(|place| EvictionOrder {
            task: names[*place].clone(),
            worker: worker.clone(),
            reason: format!("{choice}, for {job}"),
        });
        orders.collect()
    }
}

/// The tasks that run, without those that were asked to stop, and their names.
fn running_tasks(
    view: &PlanView<'_>,
    rooms: &[CandidateWorker],
) -> (Vec<TaskName>, Vec<RunningTask>) {
    let (mut names, mut running) = (Vec::new(), Vec::new());
    for (task, entry) in view.state.tasks().iter() {
        let TaskEntry::Assigned(cycle) = entry else {
            continue;
        };
        let phase = cycle.phase();
        let place = rooms.binary_search_by(|room| room.name.cmp(&phase.worker));
        let (Ok(worker), false) = (place, view.stopping.contains(task)) else {
            continue;
        };
        let record = view.state.jobs().get(&task.job);
        names.push(task.clone());
        running.push(RunningTask {
            worker_index: worker,
            allocated: phase.size,
            urgent: record.is_some_and(|record| record.order.urgent),
        });
    }
    (names, running)
}
