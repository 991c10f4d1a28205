//! Cells of recent jobs.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::JobIdentity;

/// The number of jobs that are remembered at most.
const SLOTS: usize = 4_096;

/// The number of low bits of a slot that hold the cell; the others hold a hash of the job.
const CELL_BITS: u32 = 16;

/// The bits of a slot that hold the cell.
const CELL_MASK: u64 = (1 << CELL_BITS) - 1;

/// Remembers which cell had a job when it was last read, without locks. An entry may be out
/// of date or, by a collision of hashes, another job's: its reader has to find the job there.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CellNumber;
/// use sapphirestile_entry::HomeCache;
/// use sapphirestile_jobs::JobIdentity;
///
/// let cache = HomeCache::default();
/// let job = JobIdentity::try_from("5c0e7a21d94b36f8").unwrap();
/// assert_eq!(cache.get(&job), None);
/// cache.insert(&job, CellNumber::new(7));
/// assert_eq!(cache.get(&job), Some(CellNumber::new(7)));
/// ```
#[derive(Debug)]
pub struct HomeCache {
    /// The hash of a job and its cell; 0 in an empty slot.
    slots: Box<[AtomicU64]>,
}

impl Default for HomeCache {
    fn default() -> Self {
        Self {
            slots: (0..SLOTS).map(|_| AtomicU64::new(0)).collect(),
        }
    }
}

impl HomeCache {
    /// The cell that a job had when it was last read; `None` if it is not remembered.
    #[must_use]
    pub fn get(&self, job: &JobIdentity) -> Option<CellNumber> {
        let (tag, slot) = self.place_of(job);
        let entry = slot.load(Ordering::Relaxed);
        let cell = u16::try_from(entry & CELL_MASK).ok()?;
        (entry & !CELL_MASK == tag).then(|| CellNumber::new(cell))
    }

    /// Remembers the cell of a job, in place of another job that shares its slot.
    pub fn insert(&self, job: &JobIdentity, cell: CellNumber) {
        let (tag, slot) = self.place_of(job);
        slot.store(tag | u64::from(cell.get()), Ordering::Relaxed);
    }

    /// The hash of a job above the bits of its cell, and its slot.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the low bits of the hash choose the slot"
    )]
    fn place_of(&self, job: &JobIdentity) -> (u64, &AtomicU64) {
        let mut hasher = DefaultHasher::new();
        job.hash(&mut hasher);
        let hash = hasher.finish();
        let index = usize::from(hash as u16) % SLOTS;
        // The lowest bit of the tag is set, so that it differs from an empty slot.
        ((hash | (CELL_MASK + 1)) & !CELL_MASK, &self.slots[index])
    }
}
