//! Renders the outcome of a change.

use crate::console::ConsoleChange;
use crate::console::ConsoleOutcome;
use crate::console::ConsolePage;
use crate::console::ConsolePart;
use crate::console::ConsoleState;
use crate::console::HtmlText;
use crate::console::pages::PageLayout;
use crate::console::pages::change_notice;
use crate::console::pages::conflict_notice;
use crate::console::pages::fault_notice;
use crate::console::pages::message_notice;
use crate::console::pages::part_body;
use crate::console::pages::text_body;
use crate::console::parse_form::parse_form;
use sapphirestile_core::DocumentDifference;
use sapphirestile_core::IniFault;

const OK_STATUS: u16 = 200;
const CONFLICT_STATUS: u16 = 409;
const INVALID_STATUS: u16 = 422;
const UNAVAILABLE_STATUS: u16 = 503;
const UNKNOWN_STATUS: u16 = 504;

/// The page that shows the outcome of writing `change`.
///
/// `state` is read after the write; after a conflict, it holds the document that was
/// written first.
#[must_use]
pub fn render_outcome(
    change: &ConsoleChange,
    outcome: &ConsoleOutcome,
    state: &ConsoleState<'_>,
) -> ConsolePage {
    let layout = PageLayout::new(state, Some(&change.session));
    let part = change.part;
    match outcome {
        ConsoleOutcome::Accepted(_) if change.change.dry_run => checked_page(change, &layout),
        ConsoleOutcome::Accepted(_) => ConsolePage::redirect(part.path()),
        ConsoleOutcome::Conflict(conflict) => {
            let state = ConsoleState {
                view: &conflict.current,
                ..*state
            };
            let layout = PageLayout::new(&state, Some(&change.session));
            let text = rebased_text(change, &conflict.current.text);
            let based_on = change.change.based_on;
            let body = conflict_notice(&layout, part, &change.fields, &text, based_on);
            ConsolePage::html(CONFLICT_STATUS, layout.render_part(part, &body))
        }
        ConsoleOutcome::Refused(refused) => {
            let faults = refused
                .faults
                .iter()
                .map(IniFault::from)
                .collect::<Vec<_>>();
            let mut body = fault_notice(&faults);
            body.append(&repeat_form(change, &layout));
            ConsolePage::html(INVALID_STATUS, layout.render_part(part, &body))
        }
        ConsoleOutcome::Failed(refusal) if refusal.not_run => {
            let message = format!("Not run, nothing was changed: {}", refusal.reason);
            let mut body = message_notice(&message);
            body.append(&repeat_form(change, &layout));
            ConsolePage::html(UNAVAILABLE_STATUS, layout.render_part(part, &body))
        }
        ConsoleOutcome::Failed(refusal) => {
            let message = format!(
                "Unknown outcome: {}. The change may be written; look at Changes before you \
                 ask for it again.",
                refusal.reason
            );
            let mut body = message_notice(&message);
            body.append(&repeat_form(change, &layout));
            ConsolePage::html(UNKNOWN_STATUS, layout.render_part(part, &body))
        }
    }
}

fn checked_page(change: &ConsoleChange, layout: &PageLayout<'_>) -> ConsolePage {
    let wanted = &change.change;
    let difference = DocumentDifference::between(&layout.state.view.text, &wanted.text);
    let mut body = change_notice(&difference.lines());
    body.append(&text_body(layout, &wanted.text, wanted.based_on));
    ConsolePage::html(OK_STATUS, layout.render_part(change.part, &body))
}

// A form with the whole text keeps the revision it is based on; other forms show the
// document in force.
fn repeat_form(change: &ConsoleChange, layout: &PageLayout<'_>) -> HtmlText {
    let wanted = &change.change;
    match change.part {
        ConsolePart::Document => text_body(layout, &wanted.text, wanted.based_on),
        part => part_body(part, layout),
    }
}

// Applies the form's action to the text that was written first, so that the other change
// is not undone.
fn rebased_text(change: &ConsoleChange, current: &str) -> String {
    parse_form(change.part, &change.fields)
        .ok()
        .and_then(|action| action.apply_to(current).ok())
        .unwrap_or_else(|| change.change.text.clone())
}
