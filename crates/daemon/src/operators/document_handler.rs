//! Handles the calls about the document.

use serde::de::DeserializeOwned;

use crate::context::DaemonContext;
use crate::document::ChangeOutcome;
use crate::document::DocumentWriter;
use crate::operators::operator_service::refusal;
use crate::serving::HttpReply;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DocumentError;
use sapphirestile_core::ZoneName;
use sapphirestile_wire::api::DocumentAccepted;
use sapphirestile_wire::api::DocumentChange;
use sapphirestile_wire::api::DocumentConflict;
use sapphirestile_wire::api::DocumentRefused;
use sapphirestile_wire::api::EntryFault;
use sapphirestile_wire::api::ZoneChange;

/// Handles the calls that show or change the document.
pub struct DocumentHandler<'c> {
    context: &'c DaemonContext,
}

impl<'c> DocumentHandler<'c> {
    pub const fn new(context: &'c DaemonContext) -> Self {
        Self { context }
    }

    pub fn show(&self) -> HttpReply {
        HttpReply::json(200, &self.context.document.load().view())
    }

    pub fn change(&self, body: &[u8]) -> HttpReply {
        let change: DocumentChange = match decode(body) {
            Ok(change) => change,
            Err(reply) => return reply,
        };
        let outcome = DocumentWriter::new(self.context).change(&change);
        self.reply(outcome, change.based_on)
    }

    pub fn change_zone(&self, zone: &ZoneName, body: &[u8]) -> HttpReply {
        let change: ZoneChange = match decode(body) {
            Ok(change) => change,
            Err(reply) => return reply,
        };
        let based_on = self.context.document.load().revision();
        let outcome = DocumentWriter::new(self.context).change_zone(zone, &change);
        self.reply(outcome, based_on)
    }

    fn reply(&self, outcome: ChangeOutcome, based_on: ConfigRevision) -> HttpReply {
        match outcome {
            ChangeOutcome::Checked => {
                let revision = self.context.document.load().revision();
                HttpReply::json(200, &DocumentAccepted { revision })
            }
            ChangeOutcome::Accepted(revision) => {
                HttpReply::json(200, &DocumentAccepted { revision })
            }
            ChangeOutcome::Refused(error) => HttpReply::json(422, &refused(error)),
            ChangeOutcome::Conflict(current) => {
                HttpReply::json(409, &DocumentConflict { based_on, current })
            }
            ChangeOutcome::NotRun(reason) => refusal(503, true, &reason),
            ChangeOutcome::Unknown => refusal(504, false, "the store's answer was lost"),
        }
    }
}

/// Decodes a JSON body.
///
/// # Errors
///
/// The reply with status 400, whose reason is the decoding error.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpReply> {
    serde_json::from_slice(body).map_err(|error| refusal(400, true, &format!("the body: {error}")))
}

fn refused(error: DocumentError) -> DocumentRefused {
    let faults = error.faults.into_iter().map(|fault| EntryFault {
        section: fault.section,
        key: fault.key,
        value: fault.value,
        expected: fault.expected,
    });
    DocumentRefused {
        faults: faults.collect(),
    }
}
