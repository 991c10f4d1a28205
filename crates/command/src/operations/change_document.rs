//! Replacement of the operators' document.

use error_stack::Report;

use crate::client::OperatorClient;
use crate::client::OperatorRequest;
use crate::client::OperatorResponse;
use crate::operations::OperationError;
use crate::operations::interpret_response::interpret_client_error;
use crate::operations::interpret_response::interpret_response;
use crate::operations::read_view;
use sapphirestile_wire::api::DocumentAccepted;
use sapphirestile_wire::api::DocumentChange;
use sapphirestile_wire::api::DocumentConflict;
use sapphirestile_wire::api::DocumentRefused;
use sapphirestile_wire::api::DocumentView;

const CONFLICT_STATUS: u16 = 409;
const INVALID_STATUS: u16 = 422;

/// Replaces the document with the text in `change`, or only validates it for a dry run.
/// When the outcome is unknown, reads the document back: the new text at a later
/// revision than `based_on` counts as success.
///
/// # Errors
///
/// [`OperationError`]; [`OperationError::Unknown`] only when the document cannot be
/// read back or the active document does not contain the change. A dry run changes
/// nothing, so its unknown outcome is returned without reading back.
///
/// # Panics
///
/// Never: texts and numbers always encode as JSON.
pub fn change_document(
    client: &OperatorClient<'_>,
    change: &DocumentChange,
) -> Result<DocumentAccepted, Report<OperationError>> {
    let body = serde_json::to_vec(change).expect("a change always encodes as JSON");
    let request = OperatorRequest::put("/v1/document", body);
    let outcome = client.call(&request).map_err(interpret_client_error);
    let outcome = outcome.and_then(|response| {
        interpret_response(&response, |response| {
            document_error(response, Some(&change.text))
        })
    });
    match outcome {
        Err(report) if is_outcome_unknown(&report) && !change.dry_run => {
            resolve_unknown(client, change, report)
        }
        outcome => outcome,
    }
}

/// The error in a response with status 409 or 422 to a change of the document; `None`
/// for another status or an invalid body.
///
/// `text` is the complete new text, for the difference in the message of a conflict;
/// `None` when the request did not contain one.
pub(super) fn document_error(
    response: &OperatorResponse,
    text: Option<&str>,
) -> Option<OperationError> {
    match response.status {
        CONFLICT_STATUS => {
            let conflict = serde_json::from_slice::<DocumentConflict>(&response.body).ok()?;
            let text = text.map(str::to_owned);
            Some(OperationError::Conflict { text, conflict })
        }
        INVALID_STATUS => {
            let refused = serde_json::from_slice::<DocumentRefused>(&response.body).ok()?;
            let faults = refused.faults;
            Some(OperationError::Faults { faults })
        }
        _ => None,
    }
}

pub(super) fn is_outcome_unknown(report: &Report<OperationError>) -> bool {
    matches!(report.current_context(), OperationError::Unknown { .. })
}

fn resolve_unknown(
    client: &OperatorClient<'_>,
    change: &DocumentChange,
    report: Report<OperationError>,
) -> Result<DocumentAccepted, Report<OperationError>> {
    let Ok(view) = read_view::<DocumentView>(client, "/v1/document") else {
        return Err(report);
    };
    let revision = view.revision;
    if revision > change.based_on && view.text == change.text {
        return Ok(DocumentAccepted { revision });
    }
    let reason = if revision == change.based_on {
        format!(
            "no confirmation arrived and revision {revision} is still active; the change may still be written; apply the same file again to make sure"
        )
    } else {
        format!(
            "no confirmation arrived and the active revision {revision}, written by {}, has a different text",
            view.author
        )
    };
    Err(report.change_context(OperationError::Unknown { reason }))
}
