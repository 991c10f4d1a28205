//! The body of the page "Services".

use crate::console::ConsolePart;
use crate::console::ConsoleSession;
use crate::console::HtmlText;
use crate::console::pages::PageLayout;
use crate::console::pages::form_parts::action_button;
use crate::console::pages::form_parts::hidden_field;
use crate::console::pages::form_parts::name_field;
use crate::console::pages::form_parts::number_field;
use crate::console::pages::form_parts::open_form;
use crate::console::parse_form::REMOVE_ACTION;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::ServiceEntry;
use sapphirestile_core::ServiceName;

const NEW_ENTRY: ServiceEntry = ServiceEntry {
    slots: 8,
    connections: 64,
    deadline_ms: 2_000,
    idempotent: false,
};

/// A table of the services. With a session, each has a form, and there is one more to add
/// a service.
pub(super) fn services_body(layout: &PageLayout<'_>, document: &OperatorDocument) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<table><tr><th>Service<th>Slots a runner<th>Connections a runner")
        .raw("<th>Deadline in ms<th>Idempotent<th>");
    for (service, entry) in document.services.iter() {
        html.raw("\n<tr><td>").text(service);
        match layout.session {
            Some(session) => add_fields(layout, session, Some(service), entry, &mut html),
            None => add_values(entry, &mut html),
        }
    }
    if let Some(session) = layout.session {
        html.raw("\n<tr class=\"new\"><td>").append(&name_field(
            "service-new",
            "service",
            "New service",
        ));
        add_fields(layout, session, None, &NEW_ENTRY, &mut html);
    }
    html.raw("</table>\n");
    html
}

fn add_values(entry: &ServiceEntry, html: &mut HtmlText) {
    html.raw("<td>")
        .text(entry.slots)
        .raw("<td>")
        .text(entry.connections)
        .raw("<td>")
        .text(entry.deadline_ms)
        .raw("<td>")
        .text(if entry.idempotent { "yes" } else { "no" })
        .raw("<td>");
}

fn add_fields(
    layout: &PageLayout<'_>,
    session: &ConsoleSession,
    service: Option<&ServiceName>,
    entry: &ServiceEntry,
    html: &mut HtmlText,
) {
    let form = match service {
        Some(service) => format!("service-{service}."),
        None => "service-new".to_owned(),
    };
    html.raw("<td>")
        .append(&number_field(&form, "slots", "Slots a runner", entry.slots))
        .raw("<td>")
        .append(&number_field(
            &form,
            "connections",
            "Connections a runner",
            entry.connections,
        ))
        .raw("<td>")
        .append(&number_field(
            &form,
            "deadline_ms",
            "Deadline in ms",
            entry.deadline_ms,
        ))
        .raw("<td>")
        .append(&idempotent_field(&form, entry.idempotent))
        .raw("<td>")
        .append(&open_form(
            layout,
            session,
            &form,
            ConsolePart::Services.path(),
        ));
    if let Some(service) = service {
        html.append(&hidden_field("service", service));
    }
    html.raw("</form>");
    match service {
        Some(_) => html
            .append(&action_button(&form, "save", "Save", ""))
            .append(&action_button(&form, REMOVE_ACTION, "Remove", "danger")),
        None => html.append(&action_button(&form, "save", "Add", "")),
    };
}

fn idempotent_field(form: &str, idempotent: bool) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<select name=\"idempotent\" aria-label=\"Idempotent\" form=\"")
        .text(form)
        .raw(if idempotent {
            "\"><option value=\"true\" selected>yes<option value=\"false\">no</select>"
        } else {
            "\"><option value=\"true\">yes<option value=\"false\" selected>no</select>"
        });
    html
}
