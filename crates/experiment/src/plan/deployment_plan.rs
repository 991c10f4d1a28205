//! The machines of a deployment.

use sapphirestile_core::ResourceSize;

/// How many workers, and as many runners beside them.
pub(crate) const WORKER_COUNT: usize = 48;
pub(crate) const WORKERS_PER_RACK: usize = 8;
pub(crate) const ZONE_COUNT: usize = 3;
pub(crate) const SLOTS_PER_RUNNER: u32 = 8;

/// The machines and the load of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentPlan {
    /// Its name.
    pub name: &'static str,
    /// The zones; the first two are in the callers' region, the last is alone.
    pub zones: [&'static str; ZONE_COUNT],
    /// The size of a worker.
    pub worker_size: ResourceSize,
    /// What of each worker is kept for the runner beside it.
    pub service_size: ResourceSize,
    /// Requests a second.
    pub requests_per_s: f64,
}

impl DeploymentPlan {
    /// Both deployments.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_experiment::DeploymentPlan;
    ///
    /// let names = DeploymentPlan::all().map(|plan| plan.name);
    /// assert_eq!(names, ["association", "sand-works"]);
    /// ```
    #[must_use]
    pub const fn all() -> [Self; 2] {
        [
            Self {
                name: "association",
                zones: ["rannikko-hki", "rannikko-tku", "oulu-kennel"],
                worker_size: size(64_000, 256_000),
                service_size: size(4_000, 8_000),
                requests_per_s: 500.0,
            },
            Self {
                name: "sand-works",
                zones: ["ventspils", "liepaja", "saulkrasti"],
                worker_size: size(16_000, 61_440),
                service_size: size(4_000, 8_000),
                requests_per_s: 500.0,
            },
        ]
    }

    /// What batch tasks may take of a worker.
    #[must_use]
    pub const fn batch_size(&self) -> ResourceSize {
        self.worker_size.minus(&self.service_size)
    }

    /// The zone of a worker and of the runner beside it.
    #[must_use]
    pub const fn zone_of(worker: usize) -> usize {
        worker * ZONE_COUNT / WORKER_COUNT
    }

    /// Whether a zone is in another region than the callers.
    #[must_use]
    pub const fn is_remote(zone: usize) -> bool {
        zone + 1 == ZONE_COUNT
    }
}

const fn size(cpu_milli: u64, memory_mb: u64) -> ResourceSize {
    ResourceSize {
        cpu_milli,
        memory_mb,
        accelerators: 0,
    }
}
