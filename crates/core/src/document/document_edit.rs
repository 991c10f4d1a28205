//! An edit of one section of the document.

use crate::CustomerEntry;
use crate::CustomerName;
use crate::DocumentError;
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

/// An edit of one section of the active document, made by a console form or an API
/// call.
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
    /// Sets whether a zone takes work.
    SetZone {
        /// The zone; it must have a section.
        zone: ZoneName,
        /// The new state of the zone.
        state: ZoneState,
    },
    /// Adds a service or replaces its settings.
    PutService {
        /// The service, which need not have a section yet.
        service: ServiceName,
        /// The new settings of the service.
        entry: ServiceEntry,
    },
    /// Removes a service from the document.
    RemoveService {
        /// The service; it must have a section.
        service: ServiceName,
    },
    /// Adds a customer or replaces its settings.
    PutCustomer {
        /// The customer, which need not have a section yet.
        customer: CustomerName,
        /// The new settings of the customer.
        entry: CustomerEntry,
    },
    /// Removes a customer from the document.
    RemoveCustomer {
        /// The customer; it must have a section.
        customer: CustomerName,
    },
}

impl DocumentEdit {
    /// Applies the edit to `text` and returns the new text.
    ///
    /// Comments and the order of sections and keys are kept, unless the edited text
    /// would not parse to the expected document. In that case the document is rendered
    /// anew, without comments.
    ///
    /// # Errors
    ///
    /// A [`DocumentError`] if the text is invalid, if the edit refers to a section that
    /// the text does not have, or if the result is invalid.
    pub fn rewrite(&self, text: &str) -> Result<String, DocumentError> {
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

    fn apply(&self, document: &mut OperatorDocument) -> Result<(), DocumentError> {
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

    fn missing(&self, expected: &str) -> DocumentError {
        let fault = IniFault {
            section: self.section(),
            key: String::new(),
            value: String::new(),
            expected: expected.to_owned(),
        };
        DocumentError {
            faults: vec![fault],
        }
    }
}
