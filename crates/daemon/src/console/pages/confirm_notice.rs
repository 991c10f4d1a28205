//! The question before a section is taken out.

use crate::console::ConsolePart;
use crate::console::FormFields;
use crate::console::HtmlText;
use crate::console::pages::PageFrame;
use crate::console::pages::changes_body::line_list;
use crate::console::pages::form_parts::again_form;

/// What the form would change, and the form once more to confirm it.
pub(in crate::console) fn confirm_notice(
    frame: &PageFrame<'_>,
    part: ConsolePart,
    fields: &FormFields,
    lines: &[String],
) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<div class=\"notice\" role=\"alert\"><p>Nothing was changed yet. ")
        .raw("This would be taken out:</p>")
        .append(&line_list(lines))
        .raw("</div>\n")
        .append(&again_form(frame, part, fields, "Take it out"));
    html
}
