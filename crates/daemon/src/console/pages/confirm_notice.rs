//! The request to confirm a removal.

use crate::console::ConsolePart;
use crate::console::FormFields;
use crate::console::HtmlText;
use crate::console::pages::PageLayout;
use crate::console::pages::changes_body::line_list;
use crate::console::pages::form_parts::resubmit_form;

/// The lines that the form would change, and a button that sends it again, confirmed.
pub(in crate::console) fn confirm_notice(
    layout: &PageLayout<'_>,
    part: ConsolePart,
    fields: &FormFields,
    lines: &[String],
) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<div class=\"notice\" role=\"alert\"><p>Nothing was changed yet. ")
        .raw("This would be taken out:</p>")
        .append(&line_list(lines))
        .raw("</div>\n")
        .append(&resubmit_form(layout, part, fields, "Take it out"));
    html
}
