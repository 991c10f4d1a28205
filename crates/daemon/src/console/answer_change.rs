//! Answers a change.

use crate::console::ChangeOutcome;
use crate::console::ConsoleChange;
use crate::console::ConsolePage;
use crate::console::ConsolePart;
use crate::console::ConsoleState;
use crate::console::HtmlText;
use crate::console::pages::PageFrame;
use crate::console::pages::change_notice;
use crate::console::pages::conflict_notice;
use crate::console::pages::fault_notice;
use crate::console::pages::message_notice;
use crate::console::pages::part_body;
use crate::console::pages::text_body;
use crate::console::read_wish::read_wish;
use sapphirestile_core::DocumentDifference;
use sapphirestile_core::IniFault;

const OK_STATUS: u16 = 200;
const CONFLICT_STATUS: u16 = 409;
const INVALID_STATUS: u16 = 422;
const UNAVAILABLE_STATUS: u16 = 503;
const UNKNOWN_STATUS: u16 = 504;

/// The page that answers a change, after the caller wrote it.
///
/// `state` is read after the write; for a conflict it holds the document that won.
#[must_use]
pub fn answer_change(
    change: &ConsoleChange,
    outcome: &ChangeOutcome,
    state: &ConsoleState<'_>,
) -> ConsolePage {
    let frame = PageFrame::new(state, Some(&change.session));
    let part = change.part;
    match outcome {
        ChangeOutcome::Accepted(_) if change.change.dry_run => checked_page(change, &frame),
        ChangeOutcome::Accepted(_) => ConsolePage::redirect(part.path()),
        ChangeOutcome::Conflict(conflict) => {
            let state = ConsoleState {
                view: &conflict.current,
                ..*state
            };
            let frame = PageFrame::new(&state, Some(&change.session));
            let text = text_over(change, &conflict.current.text);
            let based_on = change.change.based_on;
            let body = conflict_notice(&frame, part, &change.fields, &text, based_on);
            ConsolePage::html(CONFLICT_STATUS, frame.part(part, &body))
        }
        ChangeOutcome::Refused(refused) => {
            let faults = refused
                .faults
                .iter()
                .map(IniFault::from)
                .collect::<Vec<_>>();
            let mut body = fault_notice(&faults);
            body.append(&form_again(change, &frame));
            ConsolePage::html(INVALID_STATUS, frame.part(part, &body))
        }
        ChangeOutcome::Failed(refusal) if refusal.not_run => {
            let message = format!("Not run, nothing was changed: {}", refusal.reason);
            let mut body = message_notice(&message);
            body.append(&form_again(change, &frame));
            ConsolePage::html(UNAVAILABLE_STATUS, frame.part(part, &body))
        }
        ChangeOutcome::Failed(refusal) => {
            let message = format!(
                "Unknown outcome: {}. The change may be written; look at Changes before you \
                 ask for it again.",
                refusal.reason
            );
            let mut body = message_notice(&message);
            body.append(&form_again(change, &frame));
            ConsolePage::html(UNKNOWN_STATUS, frame.part(part, &body))
        }
    }
}

fn checked_page(change: &ConsoleChange, frame: &PageFrame<'_>) -> ConsolePage {
    let wanted = &change.change;
    let difference = DocumentDifference::between(&frame.state.view.text, &wanted.text);
    let mut body = change_notice(&difference.lines());
    body.append(&text_body(frame, &wanted.text, wanted.based_on));
    ConsolePage::html(OK_STATUS, frame.part(change.part, &body))
}

// A text keeps the revision that it was made for; other forms show what is in force.
fn form_again(change: &ConsoleChange, frame: &PageFrame<'_>) -> HtmlText {
    let wanted = &change.change;
    match change.part {
        ConsolePart::Document => text_body(frame, &wanted.text, wanted.based_on),
        part => part_body(part, frame),
    }
}

// The form's wish over the text that won, so that the other change is not undone.
fn text_over(change: &ConsoleChange, current: &str) -> String {
    read_wish(change.part, &change.fields)
        .ok()
        .and_then(|wish| wish.text_over(current).ok())
        .unwrap_or_else(|| change.change.text.clone())
}
