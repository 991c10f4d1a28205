//! One change that a form or a call makes to the document.

use crate::CustomerEntry;
use crate::CustomerName;
use crate::DocumentFault;
use crate::IniFault;
use crate::OperatorDocument;
use crate::ServiceEntry;
use crate::ServiceName;
use crate::ZoneName;
use crate::ZoneState;
use crate::document::section_text::SectionText;

const ZONE_EXPECTED: &str = "a zone that has a section of its own";
const SERVICE_EXPECTED: &str = "a service that has a section of its own";
const CUSTOMER_EXPECTED: &str = "a customer that has a section of its own";

/// One change to the document in force.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DocumentEdit;
/// use sapphirestile_core::ZoneName;
/// use sapphirestile_core::ZoneState;
///
/// let text = "; coast\n[region r]\nlink_mbit = 2\n[zone a]\nregion = r\nstate = in ; no\n";
/// let zone = ZoneName::try_from("a").unwrap();
/// let edit = DocumentEdit::SetZone { zone, state: ZoneState::Out };
/// assert!(edit.rewrite(text).is_err());
///
/// let text = "; coast\n[region r]\nlink_mbit = 2\n[zone a]\nregion = r\nstate = in\n";
/// let after = "; coast\n[region r]\nlink_mbit = 2\n[zone a]\nregion = r\nstate = out\n";
/// assert_eq!(edit.rewrite(text).unwrap(), after);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentEdit {
    /// Takes a zone out or returns it.
    SetZone {
        /// The zone.
        zone: ZoneName,
        /// What it shall be.
        state: ZoneState,
    },
    /// Adds a service or replaces what was said of it.
    PutService {
        /// The service.
        service: ServiceName,
        /// What is said of it.
        entry: ServiceEntry,
    },
    /// Takes a service out of the document.
    RemoveService {
        /// The service.
        service: ServiceName,
    },
    /// Adds a customer or replaces what was said of it.
    PutCustomer {
        /// The customer.
        customer: CustomerName,
        /// What is said of it.
        entry: CustomerEntry,
    },
    /// Takes a customer out of the document.
    RemoveCustomer {
        /// The customer.
        customer: CustomerName,
    },
}

impl DocumentEdit {
    /// The text with this change made; comments and the order of the text stay.
    ///
    /// # Errors
    ///
    /// [`DocumentFault`] when the text is not valid, when the change names a
    /// section that the text does not have, or when the result is not valid.
    pub fn rewrite(&self, text: &str) -> Result<String, DocumentFault> {
        let mut document = OperatorDocument::try_from(text)?;
        self.apply(&mut document)?;
        let edited = self.edit_text(text);
        if OperatorDocument::try_from(edited.as_str())? == document {
            return Ok(edited);
        }
        let rendered = document.to_string();
        OperatorDocument::try_from(rendered.as_str())?;
        Ok(rendered)
    }

    fn apply(&self, document: &mut OperatorDocument) -> Result<(), DocumentFault> {
        match self {
            Self::SetZone { zone, state } => {
                let entry = document.zones.get_mut(zone);
                entry.ok_or_else(|| self.missing(ZONE_EXPECTED))?.state = *state;
            }
            Self::PutService { service, entry } => {
                document.services.insert(service.clone(), *entry);
            }
            Self::RemoveService { service } => {
                let entry = document.services.remove(service);
                entry.ok_or_else(|| self.missing(SERVICE_EXPECTED))?;
            }
            Self::PutCustomer { customer, entry } => {
                document.customers.insert(customer.clone(), *entry);
            }
            Self::RemoveCustomer { customer } => {
                let entry = document.customers.remove(customer);
                entry.ok_or_else(|| self.missing(CUSTOMER_EXPECTED))?;
            }
        }
        Ok(())
    }

    fn edit_text(&self, text: &str) -> String {
        let section = self.section();
        let section_text = SectionText::new(text, &section);
        match self {
            Self::SetZone { state, .. } => section_text.put(&[("state", state.to_string())]),
            Self::PutService { entry, .. } => section_text.put(&entry.pairs()),
            Self::PutCustomer { entry, .. } => section_text.put(&entry.pairs()),
            Self::RemoveService { .. } | Self::RemoveCustomer { .. } => section_text.remove(),
        }
    }

    fn section(&self) -> String {
        match self {
            Self::SetZone { zone, .. } => format!("zone {zone}"),
            Self::PutService { service, .. } | Self::RemoveService { service } => {
                format!("service {service}")
            }
            Self::PutCustomer { customer, .. } | Self::RemoveCustomer { customer } => {
                format!("customer {customer}")
            }
        }
    }

    fn missing(&self, expected: &str) -> DocumentFault {
        let fault = IniFault {
            section: self.section(),
            key: String::new(),
            value: String::new(),
            expected: expected.to_owned(),
        };
        DocumentFault {
            faults: vec![fault],
        }
    }
}
