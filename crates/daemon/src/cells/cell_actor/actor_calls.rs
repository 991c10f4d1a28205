//! Calls of operators and peers to the actor of a cell.

use crate::cells::CellActor;
use crate::cells::CellCall;
use crate::cells::PendingReply;
use crate::cells::job_render;
use crate::context::MonoClock;
use sapphirestile_cells::ArrayProgress;
use sapphirestile_cells::RequestRecord;
use sapphirestile_cells::TransitionError;
use sapphirestile_core::JobName;
use sapphirestile_core::RequestKey;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::TaskName;
use sapphirestile_wire::api::JobSubmission;
use sapphirestile_wire::api::JobView;
use sapphirestile_wire::api::TaskState;
use sapphirestile_wire::api::TaskView;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerFault;
use sapphirestile_wire::peer::PeerRequest;

const MILLIS_PER_SECOND: u64 = 1_000;

impl CellActor {
    /// Carries out a call. The answer is sent now, or once the changes that it depends on
    /// are committed.
    pub(super) fn answer(&mut self, call: &CellCall) {
        if self.stopping {
            let reason = "the daemon is stopping".to_owned();
            let _sent = call
                .reply
                .send(PeerAnswer::Fault(PeerFault::NotRun(reason)));
            return;
        }
        let changes_before = self.owner.pending_changes();
        let answer = match &call.request {
            PeerRequest::SubmitJob(_, submission) => self.submit(submission),
            PeerRequest::CancelJob(_, job) => self.cancel(job),
            PeerRequest::ViewJob(_, job) => self.view(job),
            PeerRequest::Explain(_, job, index) => self.explain(job, *index),
            PeerRequest::ListJobs(_) => self.list(),
            PeerRequest::RecordRequest(_, key, nonce) => self.record(key, *nonce, call),
            PeerRequest::WithdrawRequest(_, key, nonce) => {
                match self.owner.withdraw_request(key, *nonce) {
                    Ok(()) => PeerAnswer::Withdrawn,
                    Err(error) => not_run(error),
                }
            }
            PeerRequest::ReportShares(_, report) => {
                let now = self.context.clock.now();
                PeerAnswer::Shares(self.owner.lend_shares(report, now))
            }
            PeerRequest::Ping | PeerRequest::Document(_) | PeerRequest::CloseMember(_) => {
                PeerAnswer::Pong
            }
        };
        let own_change = self.owner.pending_changes() > changes_before;
        self.reply_when_committed(call, answer, own_change);
    }

    /// Sends an answer once all changes proposed so far are in the journal. Faults are sent
    /// at once.
    fn reply_when_committed(&mut self, call: &CellCall, answer: PeerAnswer, own_change: bool) {
        let sequence = self.owner.last_proposed();
        let reply = call.reply.clone();
        if matches!(answer, PeerAnswer::Fault(_)) || sequence == self.owner.sequence() {
            let _sent = reply.send(answer);
            return;
        }
        self.replies.push(PendingReply {
            sequence,
            own_change,
            answer,
            reply,
        });
    }

    fn submit(&mut self, submission: &JobSubmission) -> PeerAnswer {
        let spec = job_render::spec_of(submission);
        match self.owner.submit_job(&spec) {
            Ok(()) | Err(TransitionError::AlreadySubmitted) => self.view(&submission.job),
            Err(TransitionError::NameTaken) => self.name_taken(&submission.job),
            Err(error) => not_run(error),
        }
    }

    fn name_taken(&self, job: &JobName) -> PeerAnswer {
        match self.owner.state().jobs().get(job) {
            Some(progress) => PeerAnswer::NameTaken(job_render::submission_of(&progress.spec)),
            None => PeerAnswer::Fault(PeerFault::UnknownJob),
        }
    }

    fn cancel(&mut self, job: &JobName) -> PeerAnswer {
        match self.owner.cancel_job(job) {
            Ok(()) | Err(TransitionError::Cancelled) => self.view(job),
            Err(TransitionError::UnknownJob) => PeerAnswer::Fault(PeerFault::UnknownJob),
            Err(error) => not_run(error),
        }
    }

    fn view(&self, job: &JobName) -> PeerAnswer {
        let state = self.owner.state();
        match state.jobs().get(job) {
            Some(progress) => PeerAnswer::Job(self.render(progress)),
            None => PeerAnswer::Fault(PeerFault::UnknownJob),
        }
    }

    fn render(&self, progress: &ArrayProgress) -> JobView {
        let mut view = job_render::view_of(self.owner.cell(), self.owner.state(), progress);
        let job = &progress.spec.job;
        for task in &mut view.tasks {
            task.reason = self.reason_of(job, task);
        }
        view
    }

    /// The reason why a task is waiting or throttled; `None` for any other task.
    fn reason_of(&self, job: &JobName, task: &TaskView) -> Option<String> {
        match task.state {
            TaskState::Waiting => self.owner.waiting_reason(job).map(str::to_owned),
            TaskState::Running => {
                let (job, index) = (job.clone(), task.index);
                let throttle = self.owner.throttle_of(&TaskName { job, index })?;
                Some(format!(
                    "left {} thousandths of its processor time: {}",
                    throttle.permille, throttle.cause
                ))
            }
            _ => None,
        }
    }

    fn list(&self) -> PeerAnswer {
        let (cell, state) = (self.owner.cell(), self.owner.state());
        let jobs = state.jobs().values();
        PeerAnswer::Jobs(
            jobs.map(|progress| job_render::summary_of(cell, state, progress))
                .collect(),
        )
    }

    fn explain(&self, job: &JobName, index: Option<TaskIndex>) -> PeerAnswer {
        let state = self.owner.state();
        let Some(progress) = state.jobs().get(job) else {
            return PeerAnswer::Fault(PeerFault::UnknownJob);
        };
        let view = self.render(progress);
        let subject = index.map_or(job.to_string(), |index| format!("{job}/{index}"));
        let mut lines = job_render::explain(&view, index);
        let decisions = self.owner.decisions().of_job(job, index);
        lines.extend(decisions.map(ToString::to_string));
        PeerAnswer::Explained(subject, lines)
    }

    fn record(&mut self, key: &RequestKey, nonce: u64, call: &CellCall) -> PeerAnswer {
        let record = RequestRecord {
            sender: call.sender.clone(),
            nonce,
            recorded_unix_s: MonoClock::unix_millis() / MILLIS_PER_SECOND,
        };
        match self.owner.record_request(key, &record) {
            Ok(()) => PeerAnswer::Recorded {
                epoch: self.owner.epoch(),
                sequence: self.owner.last_proposed(),
            },
            Err(TransitionError::AlreadyRecorded) => PeerAnswer::AlreadyRecorded,
            Err(error) => not_run(error),
        }
    }
}

fn not_run(error: TransitionError) -> PeerAnswer {
    PeerAnswer::Fault(PeerFault::NotRun(error.to_string()))
}
