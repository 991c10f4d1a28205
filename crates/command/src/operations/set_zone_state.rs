//! Change of a zone's state.

use error_stack::Report;

use crate::client::OperatorClient;
use crate::client::OperatorRequest;
use crate::operations::OperationError;
use crate::operations::change_document::document_error;
use crate::operations::change_document::is_outcome_unknown;
use crate::operations::interpret_response::interpret_client_error;
use crate::operations::interpret_response::interpret_response;
use crate::operations::read_view;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::ZoneName;
use sapphirestile_wire::api::DocumentAccepted;
use sapphirestile_wire::api::DocumentView;
use sapphirestile_wire::api::ZoneChange;

/// Sets the state of a zone in the operators' document. When the outcome is unknown,
/// reads the document back: the wanted state of the zone counts as success.
///
/// # Errors
///
/// [`OperationError`]; [`OperationError::Unknown`] only when the document cannot be
/// read back or the zone does not have the wanted state in the active document.
///
/// # Panics
///
/// Never: texts and numbers always encode as JSON.
pub fn set_zone_state(
    client: &OperatorClient<'_>,
    zone: &ZoneName,
    change: &ZoneChange,
) -> Result<DocumentAccepted, Report<OperationError>> {
    let path = format!("/v1/zones/{zone}");
    let body = serde_json::to_vec(change).expect("a change always encodes as JSON");
    let outcome = client
        .call(&OperatorRequest::post(&path, body))
        .map_err(interpret_client_error);
    let outcome = outcome.and_then(|response| {
        interpret_response(&response, |response| document_error(response, None))
    });
    match outcome {
        Err(report) if is_outcome_unknown(&report) => {
            resolve_unknown(client, zone, change).ok_or(report)
        }
        outcome => outcome,
    }
}

fn resolve_unknown(
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
