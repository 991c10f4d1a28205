//! Moves of jobs that wait in a full cell to another one.

use crate::division::CellChoice;
use crate::owner::DecisionEvent;
use crate::owner::JobMove;
use crate::owner::JobOwner;
use crate::owner::WaitKey;
use crate::progress::JobStanding;
use crate::spec::JobIdentity;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;

/// How long a job waits for its first start before it may move, in milliseconds.
const MOVE_AFTER_MS: u64 = 300;

/// Maximum number of jobs that move for one view of the other cells: the view does not show
/// what has moved since.
const MOVES_PER_VIEW_MAX: usize = 6;

impl JobOwner {
    /// Decides which waiting jobs move to other cells, the most urgent first. Only a job
    /// without any run moves, so nothing of it can be running here. To be called once for
    /// each view of the other cells.
    pub fn plan_moves(&mut self, own: CellNumber, choice: &CellChoice<'_>, now: MonoTime) {
        let own_load = self.cell_load(now);
        let mut moves: Vec<(WaitKey, CellNumber)> = Vec::new();
        for key in self.waiting.keys() {
            if moves.len() >= MOVES_PER_VIEW_MAX {
                break;
            }
            let Some(entry) = self.jobs.get(&key.job) else {
                continue;
            };
            let waited_ms = now.millis_since(entry.since);
            if entry.progress.standing != JobStanding::Waiting || waited_ms < MOVE_AFTER_MS {
                continue;
            }
            let service = self.service_of(&entry.spec.queue, &entry.spec.terms.service);
            if let Some(target) = choice.for_waiting_job(&entry.spec, &service, own, &own_load) {
                moves.push((*key, target));
            }
        }
        for (key, target) in moves {
            self.leave_cell(&key, target, now);
        }
    }

    fn leave_cell(&mut self, key: &WaitKey, target: CellNumber, now: MonoTime) {
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        entry.is_moving = true;
        entry.wait_key = None;
        let age_ms = now.millis_since(entry.since);
        self.waiting.remove(key);
        self.leaving.push((key.job, target));
        self.decisions.push(DecisionEvent::JobMoved {
            job: key.job,
            target,
            age_ms,
        });
    }

    /// Takes the moves that the next batch stores.
    pub(super) fn take_moves(&mut self) -> Vec<JobMove> {
        let leaving = std::mem::take(&mut self.leaving);
        let moves = leaving.into_iter().filter_map(|(job, target)| {
            let spec = self.jobs.get(&job)?.spec.clone();
            Some(JobMove { job, spec, target })
        });
        let moves: Vec<JobMove> = moves.collect();
        self.moving = moves.iter().map(|job_move| job_move.job).collect();
        moves
    }

    /// Records which moves of the latest batch are stored: all but those in `refused`, which
    /// were cancelled meanwhile. A job that has moved is no longer this owner's.
    pub fn finish_moves(&mut self, refused: &[JobIdentity], unix_ms: u64) {
        for job in std::mem::take(&mut self.moving) {
            if refused.contains(&job) {
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.is_moving = false;
                }
                self.refresh_job(job, unix_ms);
                continue;
            }
            self.jobs.remove(&job);
            self.changed.remove(&job);
            self.repeating.retain(|other| *other != job);
        }
    }
}
