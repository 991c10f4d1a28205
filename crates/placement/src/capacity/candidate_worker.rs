//! A worker as a candidate for placement.

use crate::PlacementPolicy;
use crate::UsageSample;
use crate::capacity::WHOLE_PERMILLE;
use sapphirestile_core::JobName;
use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

/// A worker's size, its allocated resources, and whether it takes new tasks.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::RackName;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_core::WorkerName;
/// use sapphirestile_core::ZoneName;
/// use sapphirestile_placement::CandidateWorker;
/// use sapphirestile_placement::PlacementPolicy;
///
/// let size = ResourceSize { cpu_milli: 4_000, memory_mb: 8_192, accelerators: 0 };
/// let half = ResourceSize { cpu_milli: 2_000, memory_mb: 4_096, accelerators: 0 };
/// let mut worker = CandidateWorker::new(
///     WorkerName::try_from("w1").unwrap(),
///     ZoneName::try_from("a").unwrap(),
///     RackName::try_from("a-1").unwrap(),
///     size,
/// );
/// let policy = PlacementPolicy::default();
/// worker.allocate(&policy, &half);
/// assert!(worker.fits(&policy, &half));
/// worker.allocate(&policy, &half);
/// assert!(!worker.fits(&policy, &half));
/// worker.release(&half);
/// assert_eq!(worker.allocated, half);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateWorker {
    /// The worker's name, for messages and for ordering by the caller.
    pub name: WorkerName,
    /// The availability zone that it runs in.
    pub zone: ZoneName,
    /// The rack that it runs in; tasks of a job are spread over racks.
    pub rack: RackName,
    /// Its total resources.
    pub size: ResourceSize,
    /// The sum of the sizes allocated to attempts assigned to it.
    pub allocated: ResourceSize,
    /// Its last usage report, or `None` before the first one.
    pub measured: Option<UsageSample>,
    /// The sum of the predicted interference of its tasks, in thousandths.
    pub interference_permille: u64,
    /// The job that it is reserved for; other jobs get no capacity on it.
    pub reserved_for: Option<JobName>,
    /// Whether the worker is being removed or is unusable for now.
    pub leaving: bool,
    /// Whether operators have taken its zone out of service.
    pub zone_out: bool,
    /// Whether its [`WorkerHealth`](crate::WorkerHealth) keeps it from taking
    /// another task: it is quarantined, or on probation with a task running.
    pub blocked_by_health: bool,
}

impl CandidateWorker {
    /// Creates a worker with nothing allocated that takes tasks of any job.
    #[must_use]
    pub const fn new(name: WorkerName, zone: ZoneName, rack: RackName, size: ResourceSize) -> Self {
        Self {
            name,
            zone,
            rack,
            size,
            allocated: ResourceSize {
                cpu_milli: 0,
                memory_mb: 0,
                accelerators: 0,
            },
            measured: None,
            interference_permille: 0,
            reserved_for: None,
            leaving: false,
            zone_out: false,
            blocked_by_health: false,
        }
    }

    /// Whether the worker takes new tasks at all, regardless of free capacity.
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        !self.leaving && !self.zone_out && !self.blocked_by_health
    }

    /// Whether the worker is reserved for a job other than `job`.
    #[must_use]
    pub fn is_reserved_for_other(&self, job: Option<&JobName>) -> bool {
        self.reserved_for.is_some() && self.reserved_for.as_ref() != job
    }

    /// The resources that may still be allocated.
    #[must_use]
    pub const fn free(&self, policy: &PlacementPolicy) -> ResourceSize {
        policy.allocatable(&self.size).minus(&self.allocated)
    }

    /// Whether a task of `size` fits in the free resources.
    #[must_use]
    pub const fn fits(&self, policy: &PlacementPolicy, size: &ResourceSize) -> bool {
        size.fits_in(&self.free(policy))
    }

    /// Whether a recent usage report shows more CPU usage than the policy allows.
    #[must_use]
    pub fn is_overloaded(&self, policy: &PlacementPolicy) -> bool {
        let bound = self.size.cpu_milli * policy.usage_bound_permille / WHOLE_PERMILLE;
        self.measured.is_some_and(|measure| {
            measure.age_ms <= policy.usage_age_max_ms && measure.usage.cpu_milli > bound
        })
    }

    /// Allocates `size` to an attempt.
    ///
    /// # Panics
    ///
    /// If `size` exceeds the free resources. Callers check with
    /// [`CandidateWorker::fits`] first.
    pub fn allocate(&mut self, policy: &PlacementPolicy, size: &ResourceSize) {
        assert!(
            self.fits(policy, size),
            "allocation on worker {} exceeds its free resources: requested {size:?}, free {:?}",
            self.name,
            self.free(policy)
        );
        self.allocated = self.allocated.plus(size);
    }

    /// Releases the `size` allocated to an attempt that has ended.
    ///
    /// # Panics
    ///
    /// If `size` exceeds the allocated resources.
    pub fn release(&mut self, size: &ResourceSize) {
        assert!(
            size.fits_in(&self.allocated),
            "release on worker {} exceeds its allocation: released {size:?}, allocated {:?}",
            self.name,
            self.allocated
        );
        self.allocated = self.allocated.minus(size);
    }
}
