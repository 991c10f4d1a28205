//! The body of the page "Zones".

use crate::console::ConsolePart;
use crate::console::HtmlText;
use crate::console::pages::PageLayout;
use crate::console::pages::form_parts::hidden_field;
use crate::console::pages::form_parts::open_form;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::ZoneName;
use sapphirestile_core::ZoneState;

/// A table of the zones. With a session, each has a button that changes its state.
pub(super) fn zones_body(layout: &PageLayout<'_>, document: &OperatorDocument) -> HtmlText {
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
            .append(&state_form(layout, zone, entry.state));
    }
    html.raw("</table>\n");
    html
}

fn state_form(layout: &PageLayout<'_>, zone: &ZoneName, state: ZoneState) -> HtmlText {
    let mut html = HtmlText::default();
    let Some(session) = layout.session else {
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
    html.append(&open_form(
        layout,
        session,
        &form,
        ConsolePart::Zones.path(),
    ))
    .append(&hidden_field("zone", zone))
    .append(&hidden_field("state", wanted))
    .raw(button);
    html
}
