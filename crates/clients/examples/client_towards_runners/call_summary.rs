//! Measurements of one client.

use crate::byte_relay::ByteRelay;

/// Latencies, connections and bytes of one client's calls.
pub struct CallSummary {
    latencies_us: Vec<u64>,
    connections: u64,
    bytes: u64,
}

impl CallSummary {
    /// Summarizes the calls that went through `relay`.
    pub fn new(mut latencies_us: Vec<u64>, relay: &ByteRelay) -> Self {
        latencies_us.sort_unstable();
        Self {
            latencies_us,
            connections: relay.connections(),
            bytes: relay.bytes(),
        }
    }

    fn percentile_us(&self, percent: usize) -> u64 {
        let last = self.latencies_us.len() - 1;
        self.latencies_us[last * percent / 100]
    }
}

impl std::fmt::Display for CallSummary {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} connections, p50 {} us, p99 {} us, {} bytes a request",
            self.connections,
            self.percentile_us(50),
            self.percentile_us(99),
            self.bytes / self.latencies_us.len() as u64
        )
    }
}
