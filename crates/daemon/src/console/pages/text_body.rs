//! The whole document.

use crate::console::ConsolePart;
use crate::console::HtmlText;
use crate::console::pages::PageFrame;
use crate::console::pages::form_parts::action_button;
use crate::console::pages::form_parts::hidden_field;
use crate::console::read_wish::CHECK_ACTION;
use sapphirestile_core::ConfigRevision;

const FORM: &str = "document";

/// `text` in a form that was made for `based_on`.
pub(in crate::console) fn text_body(
    frame: &PageFrame<'_>,
    text: &str,
    based_on: ConfigRevision,
) -> HtmlText {
    let mut html = HtmlText::default();
    let Some(session) = frame.session else {
        html.raw("<pre>").text(text).raw("</pre>\n");
        return html;
    };
    let token = session.form_token(frame.state.token);
    html.raw("<form method=\"post\" id=\"")
        .text(FORM)
        .raw("\" action=\"")
        .text(ConsolePart::Document.path())
        .raw("\">")
        .append(&hidden_field("form_token", &token))
        .append(&hidden_field("based_on", based_on))
        // A browser drops the first line end of a text field.
        .raw("<textarea name=\"text\" rows=\"28\" spellcheck=\"false\" aria-label=\"Document\">\n")
        .text(text)
        .raw("</textarea><p>")
        .append(&action_button(FORM, CHECK_ACTION, "Check only", "quiet"))
        .append(&action_button(FORM, "write", "Write", ""))
        .raw("</p></form>\n");
    html
}
