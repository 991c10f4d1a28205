//! What the owner of a cell knows of a worker's room.

use crate::RoomPolicy;
use crate::UsageMeasure;
use crate::room::WHOLE_PERMILLE;
use sapphirestile_core::JobName;
use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

/// One worker: its size, what was given away, and whether it takes work.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::RackName;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_core::WorkerName;
/// use sapphirestile_core::ZoneName;
/// use sapphirestile_placement::RoomPolicy;
/// use sapphirestile_placement::WorkerRoom;
///
/// let size = ResourceSize { cpu_milli: 4_000, memory_mb: 8_192, accelerators: 0 };
/// let half = ResourceSize { cpu_milli: 2_000, memory_mb: 4_096, accelerators: 0 };
/// let mut room = WorkerRoom::new(
///     WorkerName::try_from("w1").unwrap(),
///     ZoneName::try_from("a").unwrap(),
///     RackName::try_from("a-1").unwrap(),
///     size,
/// );
/// let policy = RoomPolicy::default();
/// room.give(&policy, &half);
/// assert!(room.has_room(&policy, &half));
/// room.give(&policy, &half);
/// assert!(!room.has_room(&policy, &half));
/// room.take_back(&half);
/// assert_eq!(room.given, half);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRoom {
    /// The worker.
    pub name: WorkerName,
    /// The zone that it lies in.
    pub zone: ZoneName,
    /// The rack that it stands in.
    pub rack: RackName,
    /// Its whole size.
    pub size: ResourceSize,
    /// The size given away by attempts assigned there.
    pub given: ResourceSize,
    /// What it was last seen to use.
    pub measured: Option<UsageMeasure>,
    /// How much the tasks there disturb each other and services, in thousandths.
    pub noise_permille: u64,
    /// The job that it is kept for.
    pub held_for: Option<JobName>,
    /// Whether it leaves.
    pub leaving: bool,
    /// Whether operators have taken its zone out.
    pub zone_out: bool,
    /// Whether it is set aside because tasks fail there.
    pub set_aside: bool,
}

impl WorkerRoom {
    /// A worker with nothing given away.
    #[must_use]
    pub const fn new(name: WorkerName, zone: ZoneName, rack: RackName, size: ResourceSize) -> Self {
        Self {
            name,
            zone,
            rack,
            size,
            given: ResourceSize {
                cpu_milli: 0,
                memory_mb: 0,
                accelerators: 0,
            },
            measured: None,
            noise_permille: 0,
            held_for: None,
            leaving: false,
            zone_out: false,
            set_aside: false,
        }
    }

    /// Whether the worker takes any work.
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        !self.leaving && !self.zone_out && !self.set_aside
    }

    /// Whether the worker is kept for a job other than `job`.
    #[must_use]
    pub fn is_held_from(&self, job: Option<&JobName>) -> bool {
        self.held_for.is_some() && self.held_for.as_ref() != job
    }

    /// What may still be given away.
    #[must_use]
    pub const fn left(&self, policy: &RoomPolicy) -> ResourceSize {
        policy.bound_of(&self.size).minus(&self.given)
    }

    /// Whether a task of `size` fits in what may still be given away.
    #[must_use]
    pub const fn has_room(&self, policy: &RoomPolicy, size: &ResourceSize) -> bool {
        size.fits_in(&self.left(policy))
    }

    /// Whether the worker was lately seen to use more than the policy's bound.
    #[must_use]
    pub fn is_hot(&self, policy: &RoomPolicy) -> bool {
        let bound = self.size.cpu_milli * policy.usage_bound_permille / WHOLE_PERMILLE;
        self.measured.is_some_and(|measure| {
            measure.age_ms <= policy.usage_age_max_ms && measure.usage.cpu_milli > bound
        })
    }

    /// Gives `size` away.
    ///
    /// # Panics
    ///
    /// When the worker has no room for it: a worker is never given more work
    /// than it has room for.
    pub fn give(&mut self, policy: &RoomPolicy, size: &ResourceSize) {
        assert!(
            self.has_room(policy, size),
            "worker {} was given more work than it has room for",
            self.name
        );
        self.given = self.given.plus(size);
    }

    /// Takes back `size` of an attempt that has ended.
    ///
    /// # Panics
    ///
    /// When more is taken back than was given away.
    pub fn take_back(&mut self, size: &ResourceSize) {
        assert!(
            size.fits_in(&self.given),
            "worker {} gave back more than it was given",
            self.name
        );
        self.given = self.given.minus(size);
    }
}
