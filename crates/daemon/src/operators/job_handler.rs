//! Handles the calls about jobs.

use crate::cells::CellRouter;
use crate::context::DaemonContext;
use crate::operators::document_handler::decode;
use crate::operators::operator_service::refusal;
use crate::serving::HttpReply;
use sapphirestile_cells::CellMap;
use sapphirestile_cells::TASKS_MAX;
use sapphirestile_core::CellNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::TaskIndex;
use sapphirestile_wire::api::Explanation;
use sapphirestile_wire::api::JobConflict;
use sapphirestile_wire::api::JobSubmission;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerFault;
use sapphirestile_wire::peer::PeerRequest;

const CELL_MOVING: &str = "the cell is moving to another daemon";

/// Handles the calls about jobs, by calling the owner of the job's cell.
pub struct JobHandler<'c> {
    context: &'c DaemonContext,
}

impl<'c> JobHandler<'c> {
    pub const fn new(context: &'c DaemonContext) -> Self {
        Self { context }
    }

    pub fn submit(&self, body: &[u8]) -> HttpReply {
        let submission: JobSubmission = match decode(body) {
            Ok(submission) => submission,
            Err(reply) => return reply,
        };
        if !(1..=TASKS_MAX).contains(&submission.tasks) {
            return refusal(400, true, &format!("a job has from 1 to {TASKS_MAX} tasks"));
        }
        let job = submission.job.clone();
        let answer = self.call_owner(&job, |cell| PeerRequest::SubmitJob(cell, submission));
        reply(limit_to_this_try(answer))
    }

    pub fn show(&self, job: &JobName) -> HttpReply {
        self.reply_from_owner(job, |cell| PeerRequest::ViewJob(cell, job.clone()))
    }

    pub fn cancel(&self, job: &JobName) -> HttpReply {
        self.reply_from_owner(job, |cell| PeerRequest::CancelJob(cell, job.clone()))
    }

    pub fn explain(&self, job: &JobName, index: Option<TaskIndex>) -> HttpReply {
        self.reply_from_owner(job, |cell| PeerRequest::Explain(cell, job.clone(), index))
    }

    /// Lists the jobs of all cells. If any cell has no owner, the call is refused, because
    /// an incomplete list would look complete.
    pub fn list(&self) -> HttpReply {
        let Some(map) = self.context.cell_map() else {
            return reply(no_document());
        };
        let mut jobs = Vec::new();
        for cell in map.cells() {
            match CellRouter::new(self.context).call(cell, PeerRequest::ListJobs(cell)) {
                PeerAnswer::Jobs(listed) => jobs.extend(listed),
                other => return reply(other),
            }
        }
        jobs.sort_by(|left, right| left.job.cmp(&right.job));
        HttpReply::json(200, &jobs)
    }

    fn reply_from_owner(
        &self,
        job: &JobName,
        request: impl FnOnce(CellNumber) -> PeerRequest,
    ) -> HttpReply {
        reply(self.call_owner(job, request))
    }

    fn call_owner(
        &self,
        job: &JobName,
        request: impl FnOnce(CellNumber) -> PeerRequest,
    ) -> PeerAnswer {
        let Some(map) = self.context.cell_map() else {
            return no_document();
        };
        let cell = CellMap::cell_of_job(map, job.as_str());
        CellRouter::new(self.context).call(cell, request(cell))
    }
}

fn no_document() -> PeerAnswer {
    PeerAnswer::Fault(PeerFault::NotRun(
        "no configuration is in force yet".to_owned(),
    ))
}

/// Limits "not run" to this call. A submission may repeat an earlier one, and the daemon
/// that refuses it has not looked for that one.
fn limit_to_this_try(answer: PeerAnswer) -> PeerAnswer {
    let reason = match answer {
        PeerAnswer::Fault(PeerFault::NotRun(reason)) => reason,
        PeerAnswer::Fault(PeerFault::NotOwner) => CELL_MOVING.to_owned(),
        other => return other,
    };
    let reason = format!("{reason}; this try did nothing, earlier ones were not looked for");
    PeerAnswer::Fault(PeerFault::NotRun(reason))
}

fn reply(answer: PeerAnswer) -> HttpReply {
    match answer {
        PeerAnswer::Job(view) => HttpReply::json(200, &view),
        PeerAnswer::Explained(subject, lines) => {
            HttpReply::json(200, &Explanation { subject, lines })
        }
        PeerAnswer::NameTaken(current) => HttpReply::json(409, &JobConflict { current }),
        PeerAnswer::Fault(PeerFault::UnknownJob) => refusal(404, true, "there is no such job"),
        PeerAnswer::Fault(PeerFault::NotRun(reason)) => refusal(503, true, &reason),
        PeerAnswer::Fault(PeerFault::NotOwner) => refusal(503, true, CELL_MOVING),
        _ => refusal(504, false, "the owner's answer was lost"),
    }
}
