//! Changes the document.

use error_stack::Report;

use crate::client::CallAnswer;
use crate::client::CallRequest;
use crate::client::OperatorClient;
use crate::operations::OperationFault;
use crate::operations::judge_answer::judge_answer;
use crate::operations::judge_answer::judge_failure;
use crate::operations::read_view;
use sapphirestile_wire::api::DocumentAccepted;
use sapphirestile_wire::api::DocumentChange;
use sapphirestile_wire::api::DocumentConflict;
use sapphirestile_wire::api::DocumentRefused;
use sapphirestile_wire::api::DocumentView;

const CONFLICT_STATUS: u16 = 409;
const INVALID_STATUS: u16 = 422;

/// Asks for a change; a lost answer is settled by reading the document back.
///
/// # Errors
///
/// [`OperationFault`]; it is unknown only when the document in force does not
/// show the change either.
///
/// # Panics
///
/// Never: texts and numbers always encode.
pub fn change_document(
    client: &OperatorClient<'_>,
    change: &DocumentChange,
) -> Result<DocumentAccepted, Report<OperationFault>> {
    let body = serde_json::to_vec(change).expect("a change always encodes");
    let request = CallRequest::put("/v1/document", body);
    let outcome = client.call(&request).map_err(judge_failure);
    let outcome = outcome
        .and_then(|answer| judge_answer(&answer, |answer| refusal(answer, Some(&change.text))));
    match outcome {
        Err(report) if is_unknown(&report) && !change.dry_run => read_back(client, change, report),
        outcome => outcome,
    }
}

/// A refusal of a change to the document.
pub(super) fn refusal(answer: &CallAnswer, text: Option<&str>) -> Option<OperationFault> {
    match answer.status {
        CONFLICT_STATUS => {
            let conflict = serde_json::from_slice::<DocumentConflict>(&answer.body).ok()?;
            let text = text.map(str::to_owned);
            Some(OperationFault::Conflict { text, conflict })
        }
        INVALID_STATUS => {
            let refused = serde_json::from_slice::<DocumentRefused>(&answer.body).ok()?;
            let faults = refused.faults;
            Some(OperationFault::Faults { faults })
        }
        _ => None,
    }
}

pub(super) fn is_unknown(report: &Report<OperationFault>) -> bool {
    matches!(report.current_context(), OperationFault::Unknown { .. })
}

fn read_back(
    client: &OperatorClient<'_>,
    change: &DocumentChange,
    report: Report<OperationFault>,
) -> Result<DocumentAccepted, Report<OperationFault>> {
    let Ok(current) = read_view::<DocumentView>(client, "/v1/document") else {
        return Err(report);
    };
    let revision = current.revision;
    if revision > change.based_on && current.text == change.text {
        return Ok(DocumentAccepted { revision });
    }
    let reason = if revision == change.based_on {
        format!(
            "the answer was lost and revision {revision} is still in force; the change may yet be written; apply the same file again to settle it"
        )
    } else {
        format!(
            "the answer was lost and revision {revision} by {} is in force with another text",
            current.author
        )
    };
    Err(report.change_context(OperationFault::Unknown { reason }))
}
