//! Settings of a daemon.

use ini::Properties;

use crate::settings::BoundSettings;
use crate::settings::NodeSettings;
use crate::settings::PortSettings;
use crate::settings::SettingsError;
use crate::settings::TargetSettings;
use sapphirestile_core::IniFault;
use sapphirestile_core::ParsedIni;
use sapphirestile_core::SectionReader;

const SECTIONS: [&str; 4] = ["node", "ports", "targets", "bounds"];
const SECTIONS_EXPECTED: &str = "one of the sections node, ports, targets, bounds";

/// The validated settings of a daemon.
///
/// # Examples
///
/// ```
/// use sapphirestile_entry::EntrySettings;
///
/// let text = "
/// [node]
/// name = entry-1
/// zone = rannikko-hki
/// [ports]
/// callers = 127.0.0.1:8161
/// ready = 127.0.0.1:8167
/// [targets]
/// store = 127.0.0.1:8169
/// [bounds]
/// lease_max_ms = 6000
/// remember_s = 120
/// grace_s = 6
/// ";
/// let settings = EntrySettings::try_from(text).unwrap();
/// assert_eq!(settings.node.name.as_str(), "entry-1");
/// assert_eq!(settings.bounds.grace_ms, 6_000);
///
/// let fault = EntrySettings::try_from("[node]\nname = entry-1\n").unwrap_err();
/// assert_eq!(
///     fault.faults[0].to_string(),
///     "[node] zone = \"\": expected the name of an availability zone"
/// );
///
/// let unsupported = text.replace("[ports]", "orders = heartbeat\n[ports]");
/// let fault = EntrySettings::try_from(unsupported.as_str()).unwrap_err();
/// assert_eq!(
///     fault.faults[0].to_string(),
///     "[node] orders = \"heartbeat\": expected call: \
///      workers that fetch their orders are not supported"
/// );
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// The daemon's identity and location.
    pub node: NodeSettings,
    /// The addresses that the daemon listens on.
    pub ports: PortSettings,
    /// The addresses of the platform's services.
    pub targets: TargetSettings,
    /// The time limits that the platform sets.
    pub bounds: BoundSettings,
}

impl TryFrom<&str> for EntrySettings {
    type Error = SettingsError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let ini = ParsedIni::try_from(text).map_err(|faults| SettingsError { faults })?;
        let mut faults = Vec::new();
        for (section, _) in ini.sections() {
            if !SECTIONS.contains(&section) {
                faults.push(IniFault {
                    section: section.to_owned(),
                    key: String::new(),
                    value: String::new(),
                    expected: SECTIONS_EXPECTED.to_owned(),
                });
            }
        }
        match Self::read(&ini, &mut faults) {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(SettingsError { faults }),
        }
    }
}

impl EntrySettings {
    fn read(ini: &ParsedIni, faults: &mut Vec<IniFault>) -> Option<Self> {
        let missing = Properties::new();
        let keys = |name: &'static str| {
            let found = ini.sections().find(|(section, _)| *section == name);
            found.map_or(&missing, |(_, keys)| keys)
        };
        let node = NodeSettings::read(SectionReader::new("node", keys("node"), faults));
        let ports = PortSettings::read(SectionReader::new("ports", keys("ports"), faults));
        let targets = TargetSettings::read(SectionReader::new("targets", keys("targets"), faults));
        let bounds = BoundSettings::read(SectionReader::new("bounds", keys("bounds"), faults));
        Some(Self {
            node: node?,
            ports: ports?,
            targets: targets?,
            bounds: bounds?,
        })
    }
}
