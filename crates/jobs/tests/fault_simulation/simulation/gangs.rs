//! Gangs: their members work together, and a member that ends breaks the others.

use std::collections::BTreeMap;
use std::ops::Range;

use rand::Rng;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::TaskIdentity;

use crate::fake_gang::FakeGang;
use crate::planned_loss::PlannedLoss;
use crate::simulation::Simulation;

use super::GANGS;

/// Time for which a gang works, in milliseconds.
const WORK_MS: Range<u64> = 200..2_500;
/// Share of the gangs that fail.
const FAILED_SHARE: f64 = 0.1;
/// Time for which a member waits for the others, in milliseconds.
const GATHERING_MAX_MS: u64 = 3_000;
/// Share of the workers that restart after the end of an owner.
const RESTART_SHARE: f64 = 0.4;
/// Time from the end of an owner to the restart of a worker, in milliseconds.
const RESTART_AFTER_MS: Range<u64> = 0..1_800;
/// Time for which such a worker is down, in milliseconds.
const DOWN_MS: u64 = 300;
/// Time until the list of workers shows its restart, in milliseconds.
const LISTED_MS: u64 = 1_000;

impl Simulation {
    /// Lets the gangs begin to work, end or break, as their members on the workers say.
    pub(super) fn advance_gangs(&mut self) {
        if self.faults != GANGS {
            return;
        }
        let members = self.gang_members();
        self.gangs.retain(|gang, _| members.contains_key(gang));
        for (gang, members) in members {
            let state = self.gangs.get(&gang).copied();
            let size = self.gang_size(&gang.0);
            let next = self.next_state(state, members.len() == size);
            self.gangs.insert(gang, next);
            self.end_members(&members, next, members.len() == size);
        }
    }

    /// The members that run, with their workers, by gang and run.
    fn gang_members(&self) -> BTreeMap<(TaskIdentity, u32), Vec<(usize, TaskIdentity)>> {
        let mut members: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (index, worker) in self.workers.iter().enumerate() {
            for (task, run) in &worker.running {
                if !self.store.specs[&task.job].is_long_running() {
                    let gang = (TaskIdentity { index: 0, ..*task }, run.run);
                    members.entry(gang).or_default().push((index, *task));
                }
            }
        }
        members
    }

    fn gang_size(&self, task: &TaskIdentity) -> usize {
        self.store.specs[&task.job].steps[task.step as usize].tasks as usize
    }

    fn next_state(&mut self, state: Option<FakeGang>, is_whole: bool) -> FakeGang {
        let state = state.unwrap_or(FakeGang::Gathering { since: self.now });
        if !is_whole || matches!(state, FakeGang::Working { .. }) {
            return state;
        }
        let has_failed = self.random.random_bool(FAILED_SHARE);
        FakeGang::Working {
            end: self.now + self.random.random_range(WORK_MS),
            kind: if has_failed {
                EndKind::Failed
            } else {
                EndKind::Done
            },
        }
    }

    /// Ends the members of a gang that has finished, was broken, or waits for too long.
    fn end_members(&mut self, members: &[(usize, TaskIdentity)], state: FakeGang, is_whole: bool) {
        let kind = match state {
            FakeGang::Working { .. } if !is_whole => EndKind::Broken,
            FakeGang::Working { end, kind } if end <= self.now => kind,
            FakeGang::Gathering { since } if self.now > since + GATHERING_MAX_MS => EndKind::Alone,
            _ => return,
        };
        for (position, (index, task)) in members.iter().enumerate() {
            let worker = &mut self.workers[*index];
            let run = worker.running[task].run;
            let is_broken = kind == EndKind::Failed && position > 0;
            let kind = if is_broken { EndKind::Broken } else { kind };
            worker.end(*task, run, kind, self.now);
        }
    }

    /// Ends the owner, and has some workers restart before the next claim or soon after it.
    pub(super) fn inject_gang_loss(&mut self, kind: u32) {
        if kind != 0 {
            return;
        }
        self.lose_owner(self.store.row.epoch);
        for index in 0..self.workers.len() {
            if self.random.random_bool(RESTART_SHARE) {
                let after_ms = self.random.random_range(RESTART_AFTER_MS);
                let name = self.workers[index].name.clone();
                self.schedule_loss(after_ms, PlannedLoss::Restart { name });
            }
        }
    }

    /// Restarts a worker under its name.
    pub(super) fn restart_unnoticed(&mut self, name: &WorkerName) {
        let now = self.now;
        let mut workers = self.workers.iter_mut();
        if let Some(worker) = workers.find(|worker| worker.name == *name) {
            worker.restart(now, DOWN_MS, LISTED_MS);
        }
        self.watch.disturb(now + DOWN_MS + LISTED_MS);
    }
}
