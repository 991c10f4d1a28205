//! A message at the top of a page.

use crate::console::HtmlText;

/// The notice with a message.
pub(in crate::console) fn message_notice(message: &str) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<div class=\"notice\" role=\"alert\"><p>")
        .text(message)
        .raw("</p></div>\n");
    html
}
