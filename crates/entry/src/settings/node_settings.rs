//! Identity and location of the daemon.

use sapphirestile_core::DaemonName;
use sapphirestile_core::SectionReader;
use sapphirestile_core::ZoneName;

const SHARE_EXPECTED: &str = "a share of a processor from 0.001 to 1024";

/// The supported way for workers to get their requests, which the settings call orders: the
/// daemon calls the workers.
const ORDERS_SUPPORTED: &str = "call";
const ORDERS_EXPECTED: &str = "call: workers that fetch their orders are not supported";

/// Identity and location of the daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The daemon's name, as shown in the ownership row and in the log.
    pub name: DaemonName,
    /// The availability zone that the daemon runs in.
    pub zone: ZoneName,
    /// The processor share that the VM grants the daemon; 1.0 is one processor.
    pub cpu_share: f64,
}

impl NodeSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let name = reader.checked("name", "a daemon's name");
        let zone = reader.checked("zone", "the name of an availability zone");
        let orders = reader.optional_text("orders").map(str::to_owned);
        if let Some(orders) = orders.filter(|orders| orders != ORDERS_SUPPORTED) {
            reader.fault("orders", &orders, ORDERS_EXPECTED);
        }
        let cpu_share = reader.ranged("cpu_share", Some(1.0), 0.001..=1_024.0, SHARE_EXPECTED);
        reader.finish();
        Some(Self {
            name: name?,
            zone: zone?,
            cpu_share: cpu_share?,
        })
    }
}
