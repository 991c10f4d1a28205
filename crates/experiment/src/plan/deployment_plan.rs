//! The machines and the request rate of a deployment.

use sapphirestile_core::ResourceSize;

/// The number of machines; each has a worker and a runner.
pub(crate) const WORKER_COUNT: usize = 48;
pub(crate) const WORKERS_PER_RACK: usize = 8;
pub(crate) const ZONE_COUNT: usize = 3;
/// The number of requests that a runner handles at the same time.
pub(crate) const SLOTS_PER_RUNNER: u32 = 8;

/// The machines and the request rate of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentPlan {
    /// The name, as shown above the table and selected on the command line.
    pub name: &'static str,
    /// The names of the zones. The first two are in the callers' region, the last
    /// is alone in another region.
    pub zones: [&'static str; ZONE_COUNT],
    /// The resources of a machine.
    pub worker_size: ResourceSize,
    /// The part of a machine that is reserved for its runner.
    pub runner_reservation: ResourceSize,
    /// The request rate of the whole deployment, per second.
    pub requests_per_s: f64,
}

impl DeploymentPlan {
    /// The two deployments that are simulated.
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
                runner_reservation: size(4_000, 8_000),
                requests_per_s: 500.0,
            },
            Self {
                name: "sand-works",
                zones: ["ventspils", "liepaja", "saulkrasti"],
                worker_size: size(16_000, 61_440),
                runner_reservation: size(4_000, 8_000),
                requests_per_s: 500.0,
            },
        ]
    }

    /// The resources of a machine that are available to batch tasks.
    #[must_use]
    pub const fn batch_capacity(&self) -> ResourceSize {
        self.worker_size.minus(&self.runner_reservation)
    }

    /// The index of the zone of `worker` and of the runner beside it.
    #[must_use]
    pub const fn zone_of(worker: usize) -> usize {
        worker * ZONE_COUNT / WORKER_COUNT
    }

    /// Whether `zone` is in another region than the callers, across the link.
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
