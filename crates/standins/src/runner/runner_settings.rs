//! How a runner is built.

/// How a runner is built.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerSettings {
    /// How many requests it runs at a time.
    pub slots: u32,
    /// How long a request runs, in milliseconds.
    pub service_ms: u64,
    /// An added wait at the first request of a connection, in milliseconds: the
    /// round trip of a handshake on a long link.
    pub connect_delay_ms: u64,
    /// An added wait at each request outside its slot, in milliseconds: the
    /// round trip of a request on a long link.
    pub request_delay_ms: u64,
    /// An added run time of each request for each core that batch tasks on the
    /// same machine take, in microseconds.
    pub disturbed_us: u64,
}

impl Default for RunnerSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            service_ms: 20,
            connect_delay_ms: 0,
            request_delay_ms: 0,
            disturbed_us: 0,
        }
    }
}
