//! The zones.

use crate::console::ConsolePart;
use crate::console::HtmlText;
use crate::console::pages::PageFrame;
use crate::console::pages::form_parts::hidden_field;
use crate::console::pages::form_parts::open_form;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::ZoneName;
use sapphirestile_core::ZoneState;

/// The zones, each with a button that takes it out or returns it.
pub(super) fn zones_body(frame: &PageFrame<'_>, document: &OperatorDocument) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<table><tr><th>Zone<th>Region<th>State<th>");
    for (zone, entry) in document.zones.iter() {
        html.raw("\n<tr><td>")
            .text(zone)
            .raw("<td>")
            .text(&entry.region)
            .raw(match entry.state {
                ZoneState::In => "<td class=\"good\">",
                ZoneState::Out => "<td class=\"bad\">",
            })
            .text(entry.state)
            .raw("<td>")
            .append(&state_form(frame, zone, entry.state));
    }
    html.raw("</table>\n");
    html
}

fn state_form(frame: &PageFrame<'_>, zone: &ZoneName, state: ZoneState) -> HtmlText {
    let mut html = HtmlText::default();
    let Some(session) = frame.session else {
        return html;
    };
    let (wanted, button) = match state {
        ZoneState::In => (
            ZoneState::Out,
            "<button class=\"danger\">Take out</button></form>",
        ),
        ZoneState::Out => (ZoneState::In, "<button>Return</button></form>"),
    };
    let form = format!("zone-{zone}");
    html.append(&open_form(frame, session, &form, ConsolePart::Zones.path()))
        .append(&hidden_field("zone", zone))
        .append(&hidden_field("state", wanted))
        .raw(button);
    html
}
