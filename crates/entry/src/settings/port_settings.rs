//! Where the daemon listens.

use std::net::SocketAddr;

use sapphirestile_core::SectionReader;

const ADDRESS_EXPECTED: &str = "an IP number and a port";

/// Where the daemon listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PortSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer that asks whether the daemon takes callers.
    pub ready: SocketAddr,
    /// For those who read metrics, if anybody does.
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
