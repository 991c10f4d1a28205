//! What one run measured.

/// What one run measured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunOutcome {
    /// Median latency of a request, in milliseconds.
    pub p50_ms: f64,
    /// Latency that 99 of 100 requests stay below, in milliseconds.
    pub p99_ms: f64,
    /// Latency that 999 of 1,000 requests stay below, in milliseconds.
    pub p999_ms: f64,
    /// Requests without a slot, of a million.
    pub refused_ppm: f64,
    /// Work of batch tasks that stands at the end, in core hours.
    pub work_core_h: f64,
    /// Batch tasks that finished.
    pub finished: f64,
    /// Tasks stopped before their end.
    pub evictions: f64,
    /// Work done from a zone's departure until after its return, in core hours.
    pub zone_work_core_h: f64,
    /// The longest of 99 of 100 waits of urgent tasks, in seconds.
    pub urgent_wait_s: f64,
    /// The median wait of tasks of half a worker, in seconds; a
    /// task that never started waited until the end.
    pub large_wait_s: f64,
    /// Bytes over the link, in megabytes.
    pub link_mb: f64,
}

impl RunOutcome {
    /// The headings of the columns.
    pub const HEADINGS: [&'static str; 11] = [
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "refused ppm",
        "work core h",
        "finished",
        "evictions",
        "zone work core h",
        "urgent p99 s",
        "large p50 s",
        "link MB",
    ];

    /// The values in the order of the headings.
    #[must_use]
    pub const fn values(&self) -> [f64; 11] {
        [
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            self.refused_ppm,
            self.work_core_h,
            self.finished,
            self.evictions,
            self.zone_work_core_h,
            self.urgent_wait_s,
            self.large_wait_s,
            self.link_mb,
        ]
    }
}
