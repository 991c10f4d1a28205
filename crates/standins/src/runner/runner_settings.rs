//! The settings of a runner.

/// The settings of a runner, fixed when it is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerSettings {
    /// The maximum number of requests that run at the same time.
    pub slots: u32,
    /// The run time of a request on a machine without batch tasks, in milliseconds.
    pub service_ms: u64,
    /// Additional delay of the first request on a connection, in milliseconds: the round trip
    /// of a handshake on a long network link.
    pub connect_delay_ms: u64,
    /// Additional delay of each request before it occupies a slot, in milliseconds: the round
    /// trip of a request on a long network link.
    pub request_delay_ms: u64,
    /// Additional run time of each request per core that batch tasks use on the same machine,
    /// in microseconds.
    pub interference_us_per_core: u64,
}

impl Default for RunnerSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            service_ms: 20,
            connect_delay_ms: 0,
            request_delay_ms: 0,
            interference_us_per_core: 0,
        }
    }
}
