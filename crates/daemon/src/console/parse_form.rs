//! Parses a form.

use crate::console::ConsolePart;
use crate::console::FormAction;
use crate::console::FormFields;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::DocumentEdit;
use sapphirestile_core::IniFault;
use sapphirestile_core::NameError;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ServiceEntry;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_core::ZoneState;

const NUMBER_EXPECTED: &str = "a whole number";
const BOOLEAN_EXPECTED: &str = "true or false";
const PART_EXPECTED: &str = "a form of zones, services, customers or the document";

/// The value of the field `action` that removes a section.
pub(super) const REMOVE_ACTION: &str = "remove";
/// The field that confirms the action.
pub(super) const CONFIRM_FIELD: &str = "confirm";
/// The value of the field `confirm` that confirms the action.
pub(super) const CONFIRM_VALUE: &str = "yes";
/// The value of the field `action` that checks a text without writing it.
pub(super) const CHECK_ACTION: &str = "check";

/// The action of a form of `part`.
///
/// # Errors
///
/// The faults of all fields.
pub(super) fn parse_form(
    part: ConsolePart,
    fields: &FormFields,
) -> Result<FormAction, Vec<IniFault>> {
    let mut faults = Vec::new();
    let edit = match part {
        ConsolePart::Zones => zone_edit(fields, &mut faults),
        ConsolePart::Services => service_edit(fields, &mut faults),
        ConsolePart::Customers => customer_edit(fields, &mut faults),
        ConsolePart::Document => return Ok(text_action(fields)),
        ConsolePart::Overview | ConsolePart::Changes => {
            faults.push(fault("", "form", part.title(), PART_EXPECTED));
            None
        }
    };
    edit.map(FormAction::Edit).ok_or(faults)
}

fn text_action(fields: &FormFields) -> FormAction {
    // Browsers end the lines of a text field with a carriage return and a line feed.
    let text = fields.get("text").replace("\r\n", "\n");
    if fields.get("action") == CHECK_ACTION {
        FormAction::Check(text)
    } else {
        FormAction::Write(text)
    }
}

fn zone_edit(fields: &FormFields, faults: &mut Vec<IniFault>) -> Option<DocumentEdit> {
    let zone = name_field::<ZoneName>(fields, "zone", faults);
    let value = fields.get("state");
    let state = ZoneState::try_from(value).ok();
    if state.is_none() {
        faults.push(fault("zone", "state", value, "in or out"));
    }
    Some(DocumentEdit::SetZone {
        zone: zone?,
        state: state?,
    })
}

fn service_edit(fields: &FormFields, faults: &mut Vec<IniFault>) -> Option<DocumentEdit> {
    let service = name_field::<ServiceName>(fields, "service", faults)?;
    if fields.get("action") == REMOVE_ACTION {
        return Some(DocumentEdit::RemoveService { service });
    }
    let section = format!("service {service}");
    let slots = fields.parsed(&section, "slots", NUMBER_EXPECTED, faults);
    let connections = fields.parsed(&section, "connections", NUMBER_EXPECTED, faults);
    let deadline_ms = fields.parsed(&section, "deadline_ms", NUMBER_EXPECTED, faults);
    let idempotent = fields.parsed(&section, "idempotent", BOOLEAN_EXPECTED, faults);
    let entry = ServiceEntry {
        slots: slots?,
        connections: connections?,
        deadline_ms: deadline_ms?,
        idempotent: idempotent?,
    };
    Some(DocumentEdit::PutService { service, entry })
}

fn customer_edit(fields: &FormFields, faults: &mut Vec<IniFault>) -> Option<DocumentEdit> {
    let customer = name_field::<CustomerName>(fields, "customer", faults)?;
    if fields.get("action") == REMOVE_ACTION {
        return Some(DocumentEdit::RemoveCustomer { customer });
    }
    let section = format!("customer {customer}");
    let cpu_milli = fields.parsed(&section, "cpu_milli", NUMBER_EXPECTED, faults);
    let memory_mb = fields.parsed(&section, "memory_mb", NUMBER_EXPECTED, faults);
    let accelerators = fields.parsed(&section, "accelerators", NUMBER_EXPECTED, faults);
    let priority = fields.parsed(&section, "priority", NUMBER_EXPECTED, faults);
    let quota = ResourceSize {
        cpu_milli: cpu_milli?,
        memory_mb: memory_mb?,
        accelerators: accelerators?,
    };
    let entry = CustomerEntry {
        quota,
        priority: priority?,
    };
    Some(DocumentEdit::PutCustomer { customer, entry })
}

fn name_field<'f, N>(fields: &'f FormFields, kind: &str, faults: &mut Vec<IniFault>) -> Option<N>
where
    N: TryFrom<&'f str, Error = NameError>,
{
    let value = fields.get(kind).trim();
    match N::try_from(value) {
        Ok(name) => Some(name),
        Err(error) => {
            faults.push(fault(kind, "name", value, &error.to_string()));
            None
        }
    }
}

fn fault(section: &str, key: &str, value: &str, expected: &str) -> IniFault {
    IniFault {
        section: section.to_owned(),
        key: key.to_owned(),
        value: value.to_owned(),
        expected: expected.to_owned(),
    }
}
