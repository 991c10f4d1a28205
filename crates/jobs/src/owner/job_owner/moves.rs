//! Moves of jobs that wait in a full cell to another one.

use crate::division::CellChoice;
use crate::division::JobNeed;
use crate::owner::DecisionEvent;
use crate::owner::JobDeparture;
use crate::owner::JobMove;
use crate::owner::JobOwner;
use crate::owner::WaitKey;
use crate::spec::JobIdentity;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// How long a job waits under an owner for its first start before it may move, in milliseconds.
/// In every cell that it comes to it waits that long.
const MOVE_AFTER_MS: u64 = 300;

/// Maximum number of jobs that move for one view of the other cells: the view does not show
/// what has moved since.
const MOVES_PER_VIEW_MAX: usize = 6;

/// The same for jobs that wait for another cell. What has moved is counted for these, but each
/// move takes a call to the store.
const HELD_MOVES_PER_VIEW_MAX: usize = 24;

impl JobOwner {
    /// Decides which waiting jobs move to other cells: first those that wait for just that, then
    /// the most urgent. Only a job
    /// without any run moves, so nothing of it can be running here. To be called once for
    /// each view of the other cells.
    pub fn plan_moves(
        &mut self,
        own: CellNumber,
        choice: &CellChoice<'_>,
        now: MonoTime,
        unix_ms: u64,
    ) {
        for (key, target) in self.choose_moves(own, choice, now, unix_ms) {
            self.leave_cell(&key, target, now);
        }
    }

    /// Waiting jobs that move now, and where to.
    fn choose_moves(
        &self,
        own: CellNumber,
        choice: &CellChoice<'_>,
        now: MonoTime,
        unix_ms: u64,
    ) -> Vec<(WaitKey, CellNumber)> {
        let own_load = self.cell_load(now);
        let mut taken: SortedTable<CellNumber, JobNeed> = SortedTable::new();
        let mut held = Vec::new();
        let mut delayed = Vec::new();
        for key in self.waiting.keys() {
            if held.len() >= HELD_MOVES_PER_VIEW_MAX {
                break;
            }
            let Some(entry) = self.jobs.get(&key.job) else {
                continue;
            };
            let waited_ms = entry.age.known_for_ms(now);
            if waited_ms < MOVE_AFTER_MS || !entry.progress.is_untouched() {
                continue;
            }
            let service = self.service_of(&entry.spec.queue, &entry.spec.terms.service);
            if self.waits_for_other_cell(entry, now, unix_ms) {
                let target = choice.roomiest_other(&entry.spec, &service, own, &taken);
                if let Some(target) = target {
                    held.push((*key, target));
                    let need = taken.get_or_insert_with(target, JobNeed::default);
                    *need = need.plus(&JobNeed::from(&*entry.spec));
                }
            } else if delayed.len() < MOVES_PER_VIEW_MAX {
                let target = choice.for_waiting_job(&entry.spec, &service, own, &own_load);
                delayed.extend(target.map(|target| (*key, target)));
            }
        }
        let rest = MOVES_PER_VIEW_MAX.saturating_sub(held.len());
        held.extend(delayed.into_iter().take(rest));
        held
    }

    fn leave_cell(&mut self, key: &WaitKey, target: CellNumber, now: MonoTime) {
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        entry.departure = Some(JobDeparture::Move);
        entry.wait_key = None;
        let age_ms = entry.age.millis(now);
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
                    entry.departure = None;
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
