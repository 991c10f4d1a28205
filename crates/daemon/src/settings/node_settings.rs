//! The name, location and addresses of a daemon.

use std::net::SocketAddr;

use sapphirestile_core::DaemonName;
use sapphirestile_core::RegionName;
use sapphirestile_core::SectionReader;
use sapphirestile_core::ZoneName;

const LISTEN_EXPECTED: &str = "an IP number and a port; port 0 is given by the system";
const REACHABLE_EXPECTED: &str = "an IP number that other daemons can reach, not 0.0.0.0 or ::";
const APART_EXPECTED: &str = "an address of its own for each of callers, operators and peers";

/// The `[daemon]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// The name of the daemon, which no other daemon has.
    pub name: DaemonName,
    /// The zone in which the daemon runs.
    pub zone: ZoneName,
    /// The region in which the daemon runs.
    pub region: RegionName,
    /// The address of the port for callers.
    pub callers: SocketAddr,
    /// The address of the port for operators.
    pub operators: SocketAddr,
    /// The address of the ports for other daemons, over UDP and TCP; must not be
    /// unspecified, because others connect to it.
    pub peers: SocketAddr,
}

impl NodeSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let name = reader.checked("name", "the name of the daemon");
        let zone = reader.checked("zone", "the name of a zone");
        let region = reader.checked("region", "the name of a region");
        let callers = reader.number::<SocketAddr>("callers", LISTEN_EXPECTED);
        let operators = reader.number::<SocketAddr>("operators", LISTEN_EXPECTED);
        let peers = reader.number::<SocketAddr>("peers", LISTEN_EXPECTED);
        let unspecified = peers.filter(|address| address.ip().is_unspecified());
        if let Some(address) = unspecified {
            reader.fault("peers", &address.to_string(), REACHABLE_EXPECTED);
        }
        for (key, address, others) in [
            ("operators", operators, [callers, None]),
            ("peers", peers, [callers, operators]),
        ] {
            if let Some(address) = address
                && address.port() != 0
                && others.contains(&Some(address))
            {
                reader.fault(key, &address.to_string(), APART_EXPECTED);
            }
        }
        reader.finish();
        Some(Self {
            name: name?,
            zone: zone?,
            region: region?,
            callers: callers?,
            operators: operators?,
            peers: peers?,
        })
    }
}
