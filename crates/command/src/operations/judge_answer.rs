//! What an answer means.

use error_stack::Report;
use serde::Deserialize;

use crate::client::CallAnswer;
use crate::client::CallFailure;
use crate::operations::OperationFault;
use sapphirestile_core::StepError;
use sapphirestile_wire::api::CallRefusal;

const OK_STATUS: u16 = 200;
/// Slow bodies, too many wrong tokens, and what cannot be done now.
const PASSING_STATUSES: [u16; 3] = [408, 429, 503];

/// The body of an answer with status 200, or what the answer says was not done.
///
/// `conflict` reads the bodies that are particular to the call.
pub(super) fn judge_answer<T: for<'de> Deserialize<'de>>(
    answer: &CallAnswer,
    conflict: impl FnOnce(&CallAnswer) -> Option<OperationFault>,
) -> Result<T, Report<OperationFault>> {
    if answer.status == OK_STATUS {
        return serde_json::from_slice(&answer.body).map_err(|error| {
            let reason = format!("the answer was not understood ({error})");
            at_daemon(answer, OperationFault::Unknown { reason })
        });
    }
    let fault = conflict(answer).unwrap_or_else(|| judge_refusal(answer));
    Err(at_daemon(answer, fault))
}

/// What is known of a call without an answer.
pub(super) fn judge_failure(report: Report<CallFailure>) -> Report<OperationFault> {
    let fault = match report.current_context() {
        CallFailure::Unreachable => OperationFault::Unreachable,
        CallFailure::AnswerLost => OperationFault::Unknown {
            reason: "the answer was lost".to_owned(),
        },
    };
    report.change_context(fault)
}

fn judge_refusal(answer: &CallAnswer) -> OperationFault {
    match serde_json::from_slice::<CallRefusal>(&answer.body) {
        Ok(refusal) => named_refusal(answer.status, refusal),
        Err(_) => OperationFault::Unknown {
            reason: format!("status {} without a reason", answer.status),
        },
    }
}

fn named_refusal(status: u16, refusal: CallRefusal) -> OperationFault {
    let reason = refusal.reason;
    let passing = PASSING_STATUSES.contains(&status);
    match (refusal.not_run, passing) {
        (false, _) => OperationFault::Unknown { reason },
        (true, true) => OperationFault::NotRun { reason },
        (true, false) => OperationFault::Refused { reason },
    }
}

fn at_daemon(answer: &CallAnswer, fault: OperationFault) -> Report<OperationFault> {
    let step = StepError::new("read answer", &answer.daemon.to_string());
    Report::new(step).change_context(fault)
}
