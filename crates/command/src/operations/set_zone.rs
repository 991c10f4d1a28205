//! Takes a zone out or returns it.

use error_stack::Report;

use crate::client::CallRequest;
use crate::client::OperatorClient;
use crate::operations::OperationFault;
use crate::operations::change_document::is_unknown;
use crate::operations::change_document::refusal;
use crate::operations::judge_answer::judge_answer;
use crate::operations::judge_answer::judge_failure;
use crate::operations::read_view;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::ZoneName;
use sapphirestile_wire::api::DocumentAccepted;
use sapphirestile_wire::api::DocumentView;
use sapphirestile_wire::api::ZoneChange;

/// Asks for a zone's state; a lost answer is settled by reading the document back.
///
/// # Errors
///
/// [`OperationFault`]; it is unknown only when the document in force does not
/// show the state either.
///
/// # Panics
///
/// Never: texts and numbers always encode.
pub fn set_zone(
    client: &OperatorClient<'_>,
    zone: &ZoneName,
    change: &ZoneChange,
) -> Result<DocumentAccepted, Report<OperationFault>> {
    let path = format!("/v1/zones/{zone}");
    let body = serde_json::to_vec(change).expect("a change always encodes");
    let outcome = client
        .call(&CallRequest::post(&path, body))
        .map_err(judge_failure);
    let outcome = outcome.and_then(|answer| judge_answer(&answer, |answer| refusal(answer, None)));
    match outcome {
        Err(report) if is_unknown(&report) => read_back(client, zone, change).ok_or(report),
        outcome => outcome,
    }
}

fn read_back(
    client: &OperatorClient<'_>,
    zone: &ZoneName,
    change: &ZoneChange,
) -> Option<DocumentAccepted> {
    let view = read_view::<DocumentView>(client, "/v1/document").ok()?;
    let document = OperatorDocument::try_from(view.text.as_str()).ok()?;
    let entry = document.zones.get(zone)?;
    let revision = view.revision;
    (entry.state == change.state).then_some(DocumentAccepted { revision })
}
