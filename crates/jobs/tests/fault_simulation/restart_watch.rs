//! Check of how soon long-running tasks run again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sapphirestile_jobs::TaskIdentity;

use crate::late_restart::LateRestart;
use crate::owner_claim::OwnerClaim;
use crate::run_gap::RunGap;

/// Time after which a task whose run has ended is missed, in milliseconds.
const RESTART_MS: u64 = 6_000;
/// Time for which a task is missed, without faults, before that is a fault of the owners, in
/// milliseconds.
const MISSED_MS: u64 = 3_000;
/// Time without faults before that, in milliseconds.
const CALM_MS: u64 = 4_000;
/// Longest time from the end of a run to the next start, in milliseconds.
const GAP_MAX_MS: u64 = RESTART_MS + MISSED_MS;
/// Longest time from the end of the latest fault to the next start, in milliseconds.
const RECOVERY_MAX_MS: u64 = CALM_MS + MISSED_MS;

/// Follows the runs of the long-running tasks as the workers see them. Times are in
/// milliseconds.
#[derive(Debug, Default)]
pub struct RestartWatch {
    /// Tasks that have run; `None` while they run.
    gaps: BTreeMap<TaskIdentity, Option<RunGap>>,
    /// When the latest fault ends.
    disturbed_until: u64,
    claims: Vec<OwnerClaim>,
}

impl RestartWatch {
    /// Records a fault that ends at `until`.
    pub fn disturb(&mut self, until: u64) {
        self.disturbed_until = self.disturbed_until.max(until);
    }

    pub fn record_claim(&mut self, claim: OwnerClaim) {
        self.claims.push(claim);
    }

    /// Records which tasks run now. Returns a task that runs again too late, if any.
    pub fn observe(&mut self, running: &BTreeSet<TaskIdentity>, now: u64) -> Option<LateRestart> {
        let mut late = None;
        for task in running {
            let gap = self.gaps.insert(*task, None).flatten();
            late = late.or_else(|| self.late_restart(task, gap?, Some(now)));
        }
        let latest_due = self.disturbed_until + RECOVERY_MAX_MS;
        for (task, gap) in &mut self.gaps {
            if running.contains(task) {
                continue;
            }
            let gap = gap.get_or_insert(RunGap {
                ended: now,
                missed_due: None,
            });
            let due = latest_due.max(gap.ended + GAP_MAX_MS);
            if now > due {
                gap.missed_due.get_or_insert(due);
            }
        }
        late
    }

    /// Forgets the tasks that need not run any more, as `is_over` says. Returns one that had
    /// to run again before, if any.
    pub fn forget(&mut self, is_over: impl Fn(&TaskIdentity) -> bool) -> Option<LateRestart> {
        let late = self.find_missed(&is_over);
        self.gaps.retain(|task, _| !is_over(task));
        late
    }

    /// A task that had to run again and has not, if any.
    pub fn missed(&self) -> Option<LateRestart> {
        self.find_missed(|_| true)
    }

    /// Whether a task had to run again and has not.
    pub fn is_any_missed(&self) -> bool {
        let mut gaps = self.gaps.values().flatten();
        gaps.any(|gap| gap.missed_due.is_some())
    }

    fn find_missed(&self, is_included: impl Fn(&TaskIdentity) -> bool) -> Option<LateRestart> {
        let mut included = self.gaps.iter().filter(|(task, _)| is_included(task));
        included.find_map(|(task, gap)| self.late_restart(task, (*gap)?, None))
    }

    /// The task with this gap, if it had to run before the gap's end.
    fn late_restart(
        &self,
        task: &TaskIdentity,
        gap: RunGap,
        started: Option<u64>,
    ) -> Option<LateRestart> {
        let due = gap.missed_due?;
        let claims = self.claims.iter();
        Some(LateRestart {
            task: *task,
            ended: gap.ended,
            due,
            started,
            claims: claims
                .filter(|claim| claim.at >= gap.ended)
                .copied()
                .collect(),
        })
    }
}
