//! The body of the page of a part.

use crate::console::ConsolePart;
use crate::console::HtmlText;
use crate::console::pages::PageLayout;
use crate::console::pages::changes_body::changes_body;
use crate::console::pages::customers_body::customers_body;
use crate::console::pages::message_notice;
use crate::console::pages::overview_body::overview_body;
use crate::console::pages::services_body::services_body;
use crate::console::pages::text_body;
use crate::console::pages::zones_body::zones_body;
use sapphirestile_core::OperatorDocument;

/// The body of the page of `part`.
pub(in crate::console) fn part_body(part: ConsolePart, layout: &PageLayout<'_>) -> HtmlText {
    let view = layout.state.view;
    let Ok(document) = OperatorDocument::try_from(view.text.as_str()) else {
        return message_notice("The document in force is not valid.");
    };
    match part {
        ConsolePart::Overview => overview_body(layout.state.status),
        ConsolePart::Zones => zones_body(layout, &document),
        ConsolePart::Services => services_body(layout, &document),
        ConsolePart::Customers => customers_body(layout, &document),
        ConsolePart::Document => text_body(layout, &view.text, view.revision),
        ConsolePart::Changes => changes_body(layout.state.recent),
    }
}
