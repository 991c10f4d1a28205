//! The body of the page "Customers".

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
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::ResourceSize;

const NEW_ENTRY: CustomerEntry = CustomerEntry {
    quota: ResourceSize {
        cpu_milli: 64_000,
        memory_mb: 250_000,
        accelerators: 0,
    },
    priority: 100,
};

/// A table of the customers. With a session, each has a form, and there is one more to
/// add a customer.
pub(super) fn customers_body(layout: &PageLayout<'_>, document: &OperatorDocument) -> HtmlText {
    let mut html = HtmlText::default();
    html.raw("<p>Limits hold for the running batch tasks of a customer together. When room is ")
        .raw("short, the larger priority goes first.</p>\n<table><tr><th>Customer")
        .raw("<th>Thousandths of a core<th>Memory in MiB<th>Accelerators<th>Priority<th>");
    for (customer, entry) in document.customers.iter() {
        html.raw("\n<tr><td>").text(customer);
        match layout.session {
            Some(session) => add_fields(layout, session, Some(customer), entry, &mut html),
            None => add_values(entry, &mut html),
        }
    }
    if let Some(session) = layout.session {
        html.raw("\n<tr class=\"new\"><td>").append(&name_field(
            "customer-new",
            "customer",
            "New customer",
        ));
        add_fields(layout, session, None, &NEW_ENTRY, &mut html);
    }
    html.raw("</table>\n");
    html
}

fn add_values(entry: &CustomerEntry, html: &mut HtmlText) {
    html.raw("<td>")
        .text(entry.quota.cpu_milli)
        .raw("<td>")
        .text(entry.quota.memory_mb)
        .raw("<td>")
        .text(entry.quota.accelerators)
        .raw("<td>")
        .text(entry.priority)
        .raw("<td>");
}

fn add_fields(
    layout: &PageLayout<'_>,
    session: &ConsoleSession,
    customer: Option<&CustomerName>,
    entry: &CustomerEntry,
    html: &mut HtmlText,
) {
    let form = match customer {
        Some(customer) => format!("customer-{customer}."),
        None => "customer-new".to_owned(),
    };
    let quota = &entry.quota;
    html.raw("<td>")
        .append(&number_field(
            &form,
            "cpu_milli",
            "Thousandths of a core",
            quota.cpu_milli,
        ))
        .raw("<td>")
        .append(&number_field(
            &form,
            "memory_mb",
            "Memory in MiB",
            quota.memory_mb,
        ))
        .raw("<td>")
        .append(&number_field(
            &form,
            "accelerators",
            "Accelerators",
            quota.accelerators,
        ))
        .raw("<td>")
        .append(&number_field(&form, "priority", "Priority", entry.priority))
        .raw("<td>")
        .append(&open_form(
            layout,
            session,
            &form,
            ConsolePart::Customers.path(),
        ));
    if let Some(customer) = customer {
        html.append(&hidden_field("customer", customer));
    }
    html.raw("</form>");
    match customer {
        Some(_) => html
            .append(&action_button(&form, "save", "Save", ""))
            .append(&action_button(&form, REMOVE_ACTION, "Remove", "danger")),
        None => html.append(&action_button(&form, "save", "Add", "")),
    };
}
