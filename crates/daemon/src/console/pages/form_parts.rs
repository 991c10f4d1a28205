//! The fields and buttons of forms.

use crate::console::ConsolePart;
use crate::console::ConsoleSession;
use crate::console::FormFields;
use crate::console::HtmlText;
use crate::console::pages::PageLayout;
use crate::console::parse_form::CONFIRM_FIELD;
use crate::console::parse_form::CONFIRM_VALUE;

/// The fields that get new values when a form is sent again.
const RENEWED_FIELDS: [&str; 3] = ["form_token", "based_on", CONFIRM_FIELD];

/// The hidden fields of every form: its token and the revision shown.
pub(super) fn hidden_fields(layout: &PageLayout<'_>, session: &ConsoleSession) -> HtmlText {
    let mut html = HtmlText::default();
    html.append(&hidden_field(
        "form_token",
        session.form_token(layout.state.token),
    ))
    .append(&hidden_field("based_on", layout.state.view.revision));
    html
}

pub(super) fn hidden_field(name: &str, value: impl std::fmt::Display) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<input type=\"hidden\" name=\"")
        .text(name)
        .raw("\" value=\"")
        .text(value)
        .raw("\">");
    html
}

/// A field for a whole number, in the form with the identifier `form`.
pub(super) fn number_field(
    form: &str,
    name: &str,
    label: &str,
    value: impl std::fmt::Display,
) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<input inputmode=\"numeric\" required size=\"9\" form=\"")
        .text(form)
        .raw("\" name=\"")
        .text(name)
        .raw("\" aria-label=\"")
        .text(label)
        .raw("\" value=\"")
        .text(value)
        .raw("\">");
    html
}

/// A field for the name of a new section, in the form with the identifier `form`.
pub(super) fn name_field(form: &str, name: &str, label: &str) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<input required size=\"16\" maxlength=\"63\" form=\"")
        .text(form)
        .raw("\" name=\"")
        .text(name)
        .raw("\" aria-label=\"")
        .text(label)
        .raw("\">");
    html
}

/// A button that sends the form with the identifier `form`, with `value` as the action.
pub(super) fn action_button(form: &str, value: &str, label: &str, class: &str) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<button form=\"")
        .text(form)
        .raw("\" name=\"action\" value=\"")
        .text(value)
        .raw("\" class=\"")
        .text(class)
        .raw("\">")
        .text(label)
        .raw("</button>");
    html
}

/// The start of a form with its hidden fields. Its other fields may be elsewhere in the
/// page and refer to it by the identifier `form`. The calling code closes the element.
pub(super) fn open_form(
    layout: &PageLayout<'_>,
    session: &ConsoleSession,
    form: &str,
    path: &str,
) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<form method=\"post\" id=\"")
        .text(form)
        .raw("\" action=\"")
        .text(path)
        .raw("\">")
        .append(&hidden_fields(layout, session));
    html
}

/// A button that sends `fields` again, confirmed and for the revision in force; empty
/// without a session.
pub(super) fn resubmit_form(
    layout: &PageLayout<'_>,
    part: ConsolePart,
    fields: &FormFields,
    label: &str,
) -> HtmlText {
    let mut html = HtmlText::default();
    let Some(session) = layout.session else {
        return html;
    };
    html.raw("<form method=\"post\" action=\"")
        .text(part.path())
        .raw("\">")
        .append(&hidden_fields(layout, session));
    for (name, value) in fields.iter() {
        if !RENEWED_FIELDS.contains(&name) {
            html.append(&hidden_field(name, value));
        }
    }
    html.append(&hidden_field(CONFIRM_FIELD, CONFIRM_VALUE))
        .raw("<button>")
        .text(label)
        .raw("</button></form>");
    html
}
