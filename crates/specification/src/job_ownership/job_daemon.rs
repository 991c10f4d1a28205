//! A daemon.

use crate::job_ownership::assigned_phase::AssignedPhase;
use crate::job_ownership::job_bounds::WORKERS;
use crate::job_ownership::known_run::KnownRun;
use crate::job_ownership::known_standing::KnownStanding;
use crate::job_ownership::known_worker::KnownWorker;
use crate::job_ownership::look_call::LookCall;
use crate::job_ownership::order_call::OrderCall;
use crate::job_ownership::record_write::RecordWrite;
use crate::job_ownership::run_assignment::RunAssignment;

/// A daemon; all but its clock is empty while it owns nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobDaemon {
    /// The epoch in which it takes itself for the owner; 0 for none.
    pub epoch: u8,
    /// How far its clock is behind, in ticks.
    pub clock_lag: u8,
    /// Its clock at the claim.
    pub claimed: u8,
    /// Its clock when its latest stored batch was sent.
    pub authority: u8,
    /// What it has decided.
    pub assignment: RunAssignment,
    /// Whether that is more than it has sent to the store.
    pub has_changed: bool,
    /// The run that it reckons with.
    pub run: Option<KnownRun>,
    /// The batch that is under way.
    pub write: Option<RecordWrite>,
    /// The start that is under way.
    pub start: Option<OrderCall>,
    /// The stop that is under way.
    pub stop: Option<OrderCall>,
    /// The look that is under way.
    pub look: Option<LookCall>,
    /// What it knows of the workers.
    pub workers: [KnownWorker; WORKERS],
}

impl JobDaemon {
    /// The daemon once it owns nothing any more.
    pub(crate) fn deposed(self) -> Self {
        Self {
            clock_lag: self.clock_lag,
            ..Self::default()
        }
    }

    /// A tick passes while its clock stands still: all that it tells time by is one
    /// more behind.
    pub(crate) fn stand_still(&mut self) {
        self.clock_lag += 1;
        for known in &mut self.workers {
            known.clock_lag += u8::from(known.is_heard);
        }
    }

    /// The run is over, and the task waits again unless it is done.
    pub(crate) fn settle_run(&mut self) {
        self.run = None;
        if self.assignment.phase != AssignedPhase::Done {
            self.assignment.phase = AssignedPhase::Waiting;
        }
        self.has_changed = true;
    }

    /// The task is done; another run of it is to end.
    pub(crate) fn finish_task(&mut self) {
        self.assignment.phase = AssignedPhase::Done;
        self.has_changed = true;
        match &mut self.run {
            Some(run) if run.standing == KnownStanding::Planned => self.run = None,
            Some(run) if run.standing != KnownStanding::Stopping => {
                run.standing = KnownStanding::Unstopped;
            }
            _ => {}
        }
    }
}
