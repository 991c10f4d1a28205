//! The checked document of the operators.

use ini::Ini;
use ini::Properties;

use crate::CustomerEntry;
use crate::CustomerName;
use crate::DocumentFault;
use crate::IniFault;
use crate::RegionEntry;
use crate::RegionName;
use crate::ResourceSize;
use crate::SectionReader;
use crate::ServiceEntry;
use crate::ServiceName;
use crate::SortedTable;
use crate::ZoneEntry;
use crate::ZoneName;
use crate::ZoneState;

/// The most cells of all regions together.
pub const CELLS_MAX: u16 = 1_024;
const CELLS_EXPECTED: &str = "a number of cells from 1 to 1024";
const DEADLINE_DEFAULT_MS: u64 = 2_000;
const PRIORITY_DEFAULT: u32 = 100;

/// Zones, regions, services and customers, checked as a whole.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::OperatorDocument;
///
/// let text = "[region r]\ncells = 2\n[zone a]\nregion = r\nstate = in\n";
/// let document = OperatorDocument::try_from(text).unwrap();
/// assert_eq!(document.zones.len(), 1);
///
/// let fault = OperatorDocument::try_from("[zone a]\nregion = r\nstate = up\n").unwrap_err();
/// assert_eq!(fault.faults.len(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorDocument {
    /// The zones by name.
    pub zones: SortedTable<ZoneName, ZoneEntry>,
    /// The regions by name.
    pub regions: SortedTable<RegionName, RegionEntry>,
    /// The services by name.
    pub services: SortedTable<ServiceName, ServiceEntry>,
    /// The customers by name.
    pub customers: SortedTable<CustomerName, CustomerEntry>,
}

impl TryFrom<&str> for OperatorDocument {
    type Error = DocumentFault;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let ini = Ini::load_from_str(text).map_err(|error| syntax_fault(&error))?;
        let mut document = Self::default();
        let mut faults = Vec::new();
        for (section, properties) in &ini {
            document.read_section(section.unwrap_or(""), properties, &mut faults);
        }
        document.check_references(&mut faults);
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(DocumentFault { faults })
        }
    }
}

impl OperatorDocument {
    /// Whether `zone` is known and takes work.
    #[must_use]
    pub fn zone_takes_work(&self, zone: &str) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|entry| entry.state == ZoneState::In)
    }

    fn read_section(&mut self, section: &str, keys: &Properties, faults: &mut Vec<IniFault>) {
        if section.is_empty() && keys.is_empty() {
            return;
        }
        let (kind, name) = section.split_once(' ').unwrap_or((section, ""));
        let reader = SectionReader::new(section, keys, faults);
        let fresh = match kind {
            "zone" => read_zone(reader).is_none_or(|entry| add(&mut self.zones, name, entry)),
            "region" => {
                let first_cell = self.regions.values().map(|entry| entry.cells).sum();
                read_region(reader, first_cell)
                    .is_none_or(|entry| add(&mut self.regions, name, entry))
            }
            "service" => {
                read_service(reader).is_none_or(|entry| add(&mut self.services, name, entry))
            }
            "customer" => {
                read_customer(reader).is_none_or(|entry| add(&mut self.customers, name, entry))
            }
            _ => false,
        };
        if !fresh {
            let expected = "a section zone, region, service or customer with a new, valid name";
            faults.push(section_fault(section, expected));
        }
    }

    fn check_references(&self, faults: &mut Vec<IniFault>) {
        for (name, entry) in self.zones.iter() {
            if !self.regions.contains(&entry.region) {
                faults.push(IniFault {
                    section: format!("zone {name}"),
                    key: "region".to_owned(),
                    value: entry.region.to_string(),
                    expected: "a region that has a section of its own".to_owned(),
                });
            }
        }
        let cells = self
            .regions
            .values()
            .map(|entry| u32::from(entry.cells))
            .sum::<u32>();
        if cells > u32::from(CELLS_MAX) {
            faults.push(section_fault(
                "region",
                "at most 1024 cells in all regions together",
            ));
        }
    }
}

fn add<'t, N, E>(table: &mut SortedTable<N, E>, name: &'t str, entry: E) -> bool
where
    N: Ord + TryFrom<&'t str>,
{
    N::try_from(name).is_ok_and(|name| table.insert(name, entry).is_none())
}

fn read_zone(mut reader: SectionReader<'_>) -> Option<ZoneEntry> {
    let region = reader.checked("region", "the name of a region");
    let state = reader.checked("state", "in or out");
    reader.finish();
    Some(ZoneEntry {
        region: region?,
        state: state?,
    })
}

fn read_region(mut reader: SectionReader<'_>, first_cell: u16) -> Option<RegionEntry> {
    let cells = reader.number::<u16>("cells", CELLS_EXPECTED);
    if let Some(number) = cells
        && !(1..=CELLS_MAX).contains(&number)
    {
        reader.fault("cells", &number.to_string(), CELLS_EXPECTED);
    }
    reader.finish();
    Some(RegionEntry {
        first_cell,
        cells: cells?,
    })
}

fn read_service(mut reader: SectionReader<'_>) -> Option<ServiceEntry> {
    let slots = reader.number("slots", "how many requests a runner works on at a time");
    let connections = reader.number("connections", "how many connections a runner accepts");
    let deadline_ms = reader.number_or("deadline_ms", DEADLINE_DEFAULT_MS, "milliseconds");
    let idempotent = reader.number_or("idempotent", false, "true or false");
    reader.finish();
    Some(ServiceEntry {
        slots: slots?,
        connections: connections?,
        deadline_ms: deadline_ms?,
        idempotent: idempotent?,
    })
}

fn read_customer(mut reader: SectionReader<'_>) -> Option<CustomerEntry> {
    let cpu_milli = reader.number("cpu_milli", "thousandths of a core");
    let memory_mb = reader.number("memory_mb", "mebibytes");
    let accelerators = reader.number_or("accelerators", 0, "a whole number of accelerators");
    let priority = reader.number_or("priority", PRIORITY_DEFAULT, "a whole number");
    reader.finish();
    let quota = ResourceSize {
        cpu_milli: cpu_milli?,
        memory_mb: memory_mb?,
        accelerators: accelerators?,
    };
    Some(CustomerEntry {
        quota,
        priority: priority?,
    })
}

fn section_fault(section: &str, expected: &str) -> IniFault {
    IniFault {
        section: section.to_owned(),
        key: String::new(),
        value: String::new(),
        expected: expected.to_owned(),
    }
}

fn syntax_fault(error: &ini::ParseError) -> DocumentFault {
    let expected = format!("INI text, but {error}");
    DocumentFault {
        faults: vec![section_fault("", &expected)],
    }
}
