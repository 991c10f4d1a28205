//! The body of the page "Document".

use crate::console::ConsolePart;
use crate::console::HtmlText;
use crate::console::pages::PageLayout;
use crate::console::pages::form_parts::action_button;
use crate::console::pages::form_parts::hidden_field;
use crate::console::parse_form::CHECK_ACTION;
use sapphirestile_core::ConfigRevision;

const FORM: &str = "document";

/// The text of a document. With a session, it is in a form that checks or writes it as a
/// change to the revision `based_on`.
pub(in crate::console) fn text_body(
    layout: &PageLayout<'_>,
    text: &str,
    based_on: ConfigRevision,
) -> HtmlText {
    let mut html = HtmlText::default();
    let Some(session) = layout.session else {
        html.raw("<pre>").text(text).raw("</pre>\n");
        return html;
    };
    let token = session.form_token(layout.state.token);
    html.raw("<form method=\"post\" id=\"")
        .text(FORM)
        .raw("\" action=\"")
        .text(ConsolePart::Document.path())
        .raw("\">")
        .append(&hidden_field("form_token", &token))
        .append(&hidden_field("based_on", based_on))
        // Browsers drop a line feed directly after the tag, so one is added.
        .raw("<textarea name=\"text\" rows=\"28\" spellcheck=\"false\" aria-label=\"Document\">\n")
        .text(text)
        .raw("</textarea><p>")
        .append(&action_button(FORM, CHECK_ACTION, "Check only", "quiet"))
        .append(&action_button(FORM, "write", "Write", ""))
        .raw("</p></form>\n");
    html
}
