//! The checked document of the operators.

use ini::Properties;

use crate::CustomerEntry;
use crate::CustomerName;
use crate::DocumentFault;
use crate::IniFault;
use crate::NameFault;
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

/// The most cells of all regions together.
pub const CELLS_MAX: u16 = 1_024;
const KIND_EXPECTED: &str =
    "a section [zone NAME], [region NAME], [service NAME] or [customer NAME]";
const ONCE_EXPECTED: &str = "each section once";
const REGION_EXPECTED: &str = "a region that has a section of its own";
const CELLS_SUM_EXPECTED: &str = "at most 1024 cells in all regions together";

/// Zones, regions, services and customers, checked as a whole.
///
/// It is displayed as INI text that reads back as the same document.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::OperatorDocument;
///
/// let text = "[region r]\ncells = 2\n[zone a]\nregion = r\nstate = in\n";
/// let document = OperatorDocument::try_from(text).unwrap();
/// assert_eq!(document.zones.len(), 1);
/// assert_eq!(OperatorDocument::try_from(document.to_string().as_str()), Ok(document));
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
        let ini = ParsedIni::try_from(text).map_err(|faults| DocumentFault { faults })?;
        let mut document = Self::default();
        let mut faults = Vec::new();
        for (section, keys) in ini.sections() {
            document.read_section(section, keys, &mut faults);
        }
        document.check_regions(&ini, &mut faults);
        document.check_cells(&mut faults);
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

    /// The regions in the order of their cells, which is their order in the text.
    #[must_use]
    pub fn regions_by_cell(&self) -> Vec<(&RegionName, &RegionEntry)> {
        let mut regions = self.regions.iter().collect::<Vec<_>>();
        regions.sort_by_key(|(_, entry)| entry.first_cell);
        regions
    }

    fn read_section(&mut self, section: &str, keys: &Properties, faults: &mut Vec<IniFault>) {
        let (kind, name) = section.split_once(' ').unwrap_or((section, ""));
        let first_cell = self.cells();
        let reader = SectionReader::new(section, keys, faults);
        let added = match kind {
            "zone" => add(&mut self.zones, name, ZoneEntry::read(reader)),
            "region" => {
                let entry = RegionEntry::read(reader, first_cell);
                add(&mut self.regions, name, entry)
            }
            "service" => add(&mut self.services, name, ServiceEntry::read(reader)),
            "customer" => add(&mut self.customers, name, CustomerEntry::read(reader)),
            _ => Err(KIND_EXPECTED.to_owned()),
        };
        if let Err(expected) = added {
            faults.push(section_fault(section, &expected));
        }
    }

    /// How many cells all regions have together.
    #[must_use]
    pub fn cells(&self) -> u16 {
        self.regions
            .values()
            .fold(0, |sum, entry| sum.saturating_add(entry.cells))
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

    fn check_cells(&self, faults: &mut Vec<IniFault>) {
        let cells = self.cells();
        if cells > CELLS_MAX {
            faults.push(IniFault {
                section: "region".to_owned(),
                key: "cells".to_owned(),
                value: cells.to_string(),
                expected: CELLS_SUM_EXPECTED.to_owned(),
            });
        }
    }
}

impl std::fmt::Display for OperatorDocument {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut sections = Vec::new();
        for (name, entry) in self.regions_by_cell() {
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
        for (place, (section, pairs)) in sections.iter().enumerate() {
            let gap = if place == 0 { "" } else { "\n" };
            writeln!(formatter, "{gap}[{section}]")?;
            for (key, value) in pairs {
                writeln!(formatter, "{key} = {value}")?;
            }
        }
        Ok(())
    }
}

fn add<'t, N, E>(
    table: &mut SortedTable<N, E>,
    name: &'t str,
    entry: Option<E>,
) -> Result<(), String>
where
    N: Ord + TryFrom<&'t str, Error = NameFault>,
{
    let name = N::try_from(name).map_err(|fault| format!("a valid name ({fault})"))?;
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
