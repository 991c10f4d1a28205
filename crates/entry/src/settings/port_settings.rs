//! Addresses that the daemon listens on.

use std::net::SocketAddr;

use sapphirestile_core::SectionReader;

const ADDRESS_EXPECTED: &str = "an IP number and a port";

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PortSettings {
    /// The port for callers.
    pub callers: SocketAddr,
    /// The port on which the load balancer checks readiness.
    pub ready: SocketAddr,
    /// The metrics port; `None` when metrics are not served.
    pub metrics: Option<SocketAddr>,
}

impl PortSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let callers = reader.number("callers", ADDRESS_EXPECTED);
        let ready = reader.number("ready", ADDRESS_EXPECTED);
        let metrics = reader.optional_text("metrics").map(str::parse);
        if let Some(Err(_)) = metrics {
            reader.fault("metrics", "", ADDRESS_EXPECTED);
        }
        reader.finish();
        Some(Self {
            callers: callers?,
            ready: ready?,
            metrics: metrics.and_then(Result::ok),
        })
    }
}
