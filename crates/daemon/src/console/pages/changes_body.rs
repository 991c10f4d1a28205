//! The body of the page "Changes".

use crate::console::HtmlText;
use sapphirestile_wire::api::RecordedChange;
use sapphirestile_wire::api::UnixTime;

/// A table of the latest changes, newest first.
pub(super) fn changes_body(recent: &[RecordedChange]) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<table><tr><th>When<th>Who<th>Over revision<th>What");
    for change in recent {
        html.raw("\n<tr><td class=\"nowrap\">")
            .text(UnixTime::new(change.changed_unix_ms))
            .raw("<td>")
            .text(&change.author)
            .raw("<td class=\"number\">")
            .text(change.replaced)
            .raw("<td>")
            .append(&line_list(&change.lines));
    }
    html.raw("</table>\n");
    html
}

/// A list with an item for each line.
pub(super) fn line_list(lines: &[String]) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<ul>");
    for line in lines {
        html.raw("<li>").text(line);
    }
    html.raw("</ul>");
    html
}
