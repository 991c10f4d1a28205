//! The operators' configuration document.

use ini::Properties;

use crate::CellsEntry;
use crate::ColocationEntry;
use crate::CustomerEntry;
use crate::CustomerName;
use crate::DocumentError;
use crate::IniFault;
use crate::NameError;
use crate::ParsedIni;
use crate::RegionEntry;
use crate::RegionName;
use crate::SectionReader;
use crate::ServiceEntry;
use crate::ServiceName;
use crate::SortedTable;
use crate::ZoneEntry;
use crate::ZoneName;
use crate::ZoneState;

const KIND_EXPECTED: &str = "a section [cells], [colocation], [zone NAME], [region NAME], [service NAME] or [customer NAME]";
const ONCE_EXPECTED: &str = "each section once";
const REGION_EXPECTED: &str = "a region that has a section of its own";

/// The operators' configuration of zones, regions, services and customers, validated
/// as a whole.
///
/// `Display` writes INI text that parses to the same document.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::OperatorDocument;
///
/// let text = "[region r]\nlink_mbit = 2\n[zone a]\nregion = r\nstate = in\n";
/// let document = OperatorDocument::try_from(text).unwrap();
/// assert_eq!(document.zones.len(), 1);
/// assert_eq!(OperatorDocument::try_from(document.to_string().as_str()), Ok(document));
///
/// let error = OperatorDocument::try_from("[zone a]\nregion = r\nstate = up\n").unwrap_err();
/// assert_eq!(error.faults.len(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorDocument {
    /// The number of cells over which workers and jobs are partitioned.
    pub cells: CellsEntry,
    /// Whether batch tasks are throttled to protect services.
    pub colocation: ColocationEntry,
    /// The zones by name; the region of each has an entry in `regions`.
    pub zones: SortedTable<ZoneName, ZoneEntry>,
    /// The regions by name.
    pub regions: SortedTable<RegionName, RegionEntry>,
    /// The services by name.
    pub services: SortedTable<ServiceName, ServiceEntry>,
    /// The customers by name.
    pub customers: SortedTable<CustomerName, CustomerEntry>,
}

impl TryFrom<&str> for OperatorDocument {
    type Error = DocumentError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let ini = ParsedIni::try_from(text).map_err(|faults| DocumentError { faults })?;
        let mut document = Self::default();
        let mut faults = Vec::new();
        for (section, keys) in ini.sections() {
            document.read_section(section, keys, &mut faults);
        }
        check_once(&ini, "cells", &mut faults);
        check_once(&ini, "colocation", &mut faults);
        document.check_regions(&ini, &mut faults);
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(DocumentError { faults })
        }
    }
}

impl OperatorDocument {
    /// Whether `zone` is in the document and its state is [`ZoneState::In`].
    #[must_use]
    pub fn zone_takes_work(&self, zone: &str) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|entry| entry.state == ZoneState::In)
    }

    fn read_section(&mut self, section: &str, keys: &Properties, faults: &mut Vec<IniFault>) {
        let (kind, name) = section.split_once(' ').unwrap_or((section, ""));
        let reader = SectionReader::new(section, keys, faults);
        let added = match kind {
            "zone" => add(&mut self.zones, name, ZoneEntry::read(reader)),
            "region" => add(&mut self.regions, name, RegionEntry::read(reader)),
            "cells" if section == "cells" => {
                self.cells = CellsEntry::read(reader).unwrap_or_default();
                Ok(())
            }
            "colocation" if section == "colocation" => {
                self.colocation = ColocationEntry::read(reader).unwrap_or_default();
                Ok(())
            }
            "service" => add(&mut self.services, name, ServiceEntry::read(reader)),
            "customer" => add(&mut self.customers, name, CustomerEntry::read(reader)),
            _ => Err(KIND_EXPECTED.to_owned()),
        };
        if let Err(expected) = added {
            faults.push(section_fault(section, &expected));
        }
    }

    fn check_regions(&self, ini: &ParsedIni, faults: &mut Vec<IniFault>) {
        for (name, entry) in self.zones.iter() {
            let header = format!("region {}", entry.region);
            if !ini.sections().any(|(section, _)| section == header) {
                faults.push(IniFault {
                    section: format!("zone {name}"),
                    key: "region".to_owned(),
                    value: entry.region.to_string(),
                    expected: REGION_EXPECTED.to_owned(),
                });
            }
        }
    }
}

impl std::fmt::Display for OperatorDocument {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut sections = vec![("cells".to_owned(), self.cells.pairs())];
        if self.colocation != ColocationEntry::default() {
            sections.push(("colocation".to_owned(), self.colocation.pairs()));
        }
        for (name, entry) in self.regions.iter() {
            sections.push((format!("region {name}"), entry.pairs()));
        }
        for (name, entry) in self.zones.iter() {
            sections.push((format!("zone {name}"), entry.pairs()));
        }
        for (name, entry) in self.services.iter() {
            sections.push((format!("service {name}"), entry.pairs()));
        }
        for (name, entry) in self.customers.iter() {
            sections.push((format!("customer {name}"), entry.pairs()));
        }
        for (index, (section, pairs)) in sections.iter().enumerate() {
            let gap = if index == 0 { "" } else { "\n" };
            writeln!(formatter, "{gap}[{section}]")?;
            for (key, value) in pairs {
                writeln!(formatter, "{key} = {value}")?;
            }
        }
        Ok(())
    }
}

/// Reports a section without a name that is given twice. Sections with a name are
/// checked when they are added to their table.
fn check_once(ini: &ParsedIni, wanted: &str, faults: &mut Vec<IniFault>) {
    let found = ini.sections().filter(|(section, _)| *section == wanted);
    if found.count() > 1 {
        faults.push(section_fault(wanted, ONCE_EXPECTED));
    }
}

fn add<'t, N, E>(
    table: &mut SortedTable<N, E>,
    name: &'t str,
    entry: Option<E>,
) -> Result<(), String>
where
    N: Ord + TryFrom<&'t str, Error = NameError>,
{
    let name = N::try_from(name).map_err(|error| format!("a valid name ({error})"))?;
    let Some(entry) = entry else {
        return Ok(());
    };
    match table.insert(name, entry) {
        None => Ok(()),
        Some(_) => Err(ONCE_EXPECTED.to_owned()),
    }
}

fn section_fault(section: &str, expected: &str) -> IniFault {
    IniFault {
        section: section.to_owned(),
        key: String::new(),
        value: String::new(),
        expected: expected.to_owned(),
    }
}
