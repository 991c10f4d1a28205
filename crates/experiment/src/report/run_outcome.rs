//! The metrics of one run.

/// The metrics of one run, one per column of the table.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunOutcome {
    /// The median request latency, in milliseconds. In all latencies a refused
    /// request counts with its deadline of 2 s.
    pub p50_ms: f64,
    /// The 99th percentile of the request latency, in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile of the request latency, in milliseconds.
    pub p999_ms: f64,
    /// Requests refused because no runner had a free slot, per million requests.
    pub refused_ppm: f64,
    /// Work done by batch tasks and not lost by the end of the run, in core hours.
    pub work_core_h: f64,
    /// The number of batch tasks that finished.
    pub finished: f64,
    /// How often a task was stopped before its end: preempted, moved, out of
    /// memory, stopped for interference, or lost with its zone. Failures and
    /// cancellations are not counted.
    pub evictions: f64,
    /// Work done from the moment a zone is taken out of service until a tenth of the
    /// run after it is back, in core hours.
    pub zone_work_core_h: f64,
    /// The 99th percentile of the waits of urgent tasks for their first start, in
    /// seconds; tasks that never started are not included.
    pub urgent_wait_p99_s: f64,
    /// The median wait of tasks that need about half a worker, in seconds; a task
    /// that never started has waited until the end of the run.
    pub large_wait_p50_s: f64,
    /// Data sent over the link between the regions, in megabytes.
    pub link_mb: f64,
}

impl RunOutcome {
    /// The column headings of the table.
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

    /// The metrics in the order of [`RunOutcome::HEADINGS`].
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
            self.urgent_wait_p99_s,
            self.large_wait_p50_s,
            self.link_mb,
        ]
    }
}
