//! Parts of forms.

use crate::console::ConsolePart;
use crate::console::ConsoleSession;
use crate::console::FormFields;
use crate::console::HtmlText;
use crate::console::pages::PageFrame;
use crate::console::read_wish::CONFIRM_FIELD;
use crate::console::read_wish::CONFIRM_VALUE;

const RENEWED_FIELDS: [&str; 3] = ["form_token", "based_on", CONFIRM_FIELD];

/// The hidden fields that every form carries: its seal and the revision shown.
pub(super) fn hidden_fields(frame: &PageFrame<'_>, session: &ConsoleSession) -> HtmlText {
    let mut html = HtmlText::default();
    html.append(&hidden_field(
        "form_token",
        session.form_token(frame.state.token),
    ))
    .append(&hidden_field("based_on", frame.state.view.revision));
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

/// A field for a whole number that belongs to the form `form`.
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

/// A field for the name of a new section that belongs to the form `form`.
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

/// A button of the form `form` that sends `value` as its action.
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

/// An empty form whose fields stand elsewhere and name it.
pub(super) fn open_form(
    frame: &PageFrame<'_>,
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
        .append(&hidden_fields(frame, session));
    html
}

/// A form once more, for the revision in force, as one button.
pub(super) fn again_form(
    frame: &PageFrame<'_>,
    part: ConsolePart,
    fields: &FormFields,
    label: &str,
) -> HtmlText {
    let mut html = HtmlText::default();
    let Some(session) = frame.session else {
        return html;
    };
    html.raw("<form method=\"post\" action=\"")
        .text(part.path())
        .raw("\">")
        .append(&hidden_fields(frame, session));
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
