//! The faults of a refused change.

use crate::console::HtmlText;
use sapphirestile_core::IniFault;

/// The notice that nothing was changed, with every fault.
pub(in crate::console) fn fault_notice(faults: &[IniFault]) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<div class=\"notice\" role=\"alert\"><p>Nothing was changed:</p><ul>");
    for fault in faults {
        html.raw("<li>").text(fault);
    }
    html.raw("</ul></div>\n");
    html
}
