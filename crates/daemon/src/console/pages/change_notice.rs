//! The result of checking a text.

use crate::console::HtmlText;
use crate::console::pages::changes_body::line_list;

/// The notice that a text is valid, with the lines that it would change.
pub(in crate::console) fn change_notice(lines: &[String]) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<div class=\"notice calm\" role=\"status\"><p>Valid; nothing was written yet. ");
    if lines.is_empty() {
        html.raw("It would change no key.</p>");
    } else {
        html.raw("It would change:</p>").append(&line_list(lines));
    }
    html.raw("</div>\n");
    html
}
