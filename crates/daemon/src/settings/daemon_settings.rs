//! The settings of a daemon.

use std::net::SocketAddr;

use ini::Properties;

use crate::settings::LimitSettings;
use crate::settings::NodeSettings;
use crate::settings::OperatorSettings;
use crate::settings::PeerSettings;
use crate::settings::PlatformSettings;
use crate::settings::SettingsError;
use sapphirestile_core::IniFault;
use sapphirestile_core::ParsedIni;
use sapphirestile_core::SectionReader;

const SECTIONS: [&str; 5] = ["daemon", "platform", "peers", "operators", "limits"];
const SECTIONS_EXPECTED: &str = "one of the sections daemon, platform, peers, operators, limits";
const ONCE_EXPECTED: &str = "each section once";
const ADDRESS_EXPECTED: &str = "an IP number and a port";

/// The checked settings of a daemon.
///
/// # Examples
///
/// ```
/// use sapphirestile_daemon::settings::DaemonSettings;
///
/// let text = "
/// [daemon]
/// name = hki-1
/// zone = rannikko-hki
/// region = rannikko
/// callers = 127.0.0.1:0
/// operators = 127.0.0.1:0
/// peers = 127.0.0.1:0
/// [platform]
/// store = 127.0.0.1:2379
/// vms = 127.0.0.1:8000
/// [peers]
/// key = 0123456789abcdef
/// [operators]
/// token = fedcba9876543210
/// ";
/// let settings = DaemonSettings::try_from(text).unwrap();
/// assert_eq!(settings.node.name.as_str(), "hki-1");
/// assert_eq!(settings.limits.lease_ms, 3_600_000);
///
/// let fault = DaemonSettings::try_from("[limits]\nlease_ms = 5 s\n").unwrap_err();
/// assert_eq!(
///     fault.faults.last().unwrap().to_string(),
///     "[limits] lease_ms = \"5 s\": expected milliseconds from 2000 to 86400000"
/// );
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// The name, location and addresses of the daemon.
    pub node: NodeSettings,
    /// The addresses of the platform.
    pub platform: PlatformSettings,
    /// How other daemons are found and authenticated.
    pub peering: PeerSettings,
    /// How operators are authenticated.
    pub operators: OperatorSettings,
    /// Limits and intervals.
    pub limits: LimitSettings,
}

impl TryFrom<&str> for DaemonSettings {
    type Error = SettingsError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let ini = ParsedIni::try_from(text).map_err(|faults| SettingsError { faults })?;
        let mut faults = Vec::new();
        check_sections(&ini, &mut faults);
        match Self::read(&ini, &mut faults) {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(SettingsError { faults }),
        }
    }
}

impl DaemonSettings {
    fn read(ini: &ParsedIni, faults: &mut Vec<IniFault>) -> Option<Self> {
        let missing = Properties::new();
        let section = |name: &'static str| {
            let found = ini.sections().find(|(section, _)| *section == name);
            found.map_or(&missing, |(_, keys)| keys)
        };
        let node = NodeSettings::read(SectionReader::new("daemon", section("daemon"), faults));
        let platform =
            PlatformSettings::read(SectionReader::new("platform", section("platform"), faults));
        let peering = PeerSettings::read(SectionReader::new("peers", section("peers"), faults));
        let operators = OperatorSettings::read(SectionReader::new(
            "operators",
            section("operators"),
            faults,
        ));
        let limits = LimitSettings::read(SectionReader::new("limits", section("limits"), faults));
        Some(Self {
            node: node?,
            platform: platform?,
            peering: peering?,
            operators: operators?,
            limits: limits?,
        })
    }
}

/// Reads the address of a server. Port 0 and the unspecified addresses (`0.0.0.0` and `::`)
/// add a fault, but the address is returned all the same.
pub(super) fn read_address(
    reader: &mut SectionReader<'_>,
    key: &'static str,
) -> Option<SocketAddr> {
    let address = reader.number::<SocketAddr>(key, ADDRESS_EXPECTED)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        reader.fault(key, &address.to_string(), ADDRESS_EXPECTED);
    }
    Some(address)
}

fn check_sections(ini: &ParsedIni, faults: &mut Vec<IniFault>) {
    let mut seen = Vec::new();
    for (section, _) in ini.sections() {
        if !SECTIONS.contains(&section) {
            faults.push(section_fault(section, SECTIONS_EXPECTED));
        } else if seen.contains(&section) {
            faults.push(section_fault(section, ONCE_EXPECTED));
        }
        seen.push(section);
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
