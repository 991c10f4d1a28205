//! Both sides of a conflict between two changes.

use crate::console::ConsolePart;
use crate::console::FormFields;
use crate::console::HtmlText;
use crate::console::pages::PageLayout;
use crate::console::pages::changes_body::changes_body;
use crate::console::pages::changes_body::line_list;
use crate::console::pages::form_parts::resubmit_form;
use crate::console::pages::text_body;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DocumentDifference;
use sapphirestile_wire::api::RecordedChange;

/// The changes of others since `based_on`, the lines that the form would change now, and
/// a form to send it again for the revision in force.
pub(in crate::console) fn conflict_notice(
    layout: &PageLayout<'_>,
    part: ConsolePart,
    fields: &FormFields,
    text: &str,
    based_on: ConfigRevision,
) -> HtmlText {
    let view = layout.state.view;
    let mut html = HtmlText::default();
    html.raw("<div class=\"notice\" role=\"alert\"><p>Nothing was changed: your form is based on revision ")
        .text(based_on)
        .raw(", but revision ")
        .text(view.revision)
        .raw(" by ")
        .text(&view.author)
        .raw(" is in force.</p></div>\n<div class=\"sides\"><section><h2>Theirs</h2>\n");
    let theirs = changes_since(layout.state.recent, based_on);
    if theirs.is_empty() {
        html.raw("<p>The changes since then are not remembered.</p>");
    } else {
        html.append(&changes_body(theirs));
    }
    html.raw("</section><section><h2>Yours, over what is in force now</h2>\n");
    let yours = DocumentDifference::between(&view.text, text).lines();
    if yours.is_empty() {
        html.raw("<p>No difference is left.</p>");
    } else {
        html.append(&line_list(&yours));
        match part {
            ConsolePart::Document => html.append(&text_body(layout, text, view.revision)),
            _ => html.append(&resubmit_form(
                layout,
                part,
                fields,
                &resubmit_label(layout),
            )),
        };
    }
    html.raw("</section></div>\n");
    html
}

// `recent` starts with the newest change.
fn changes_since(recent: &[RecordedChange], based_on: ConfigRevision) -> &[RecordedChange] {
    let count = recent
        .iter()
        .take_while(|change| change.replaced >= based_on)
        .count();
    &recent[..count]
}

fn resubmit_label(layout: &PageLayout<'_>) -> String {
    let revision = layout.state.view.revision;
    format!("Change all the same, over revision {revision}")
}
