//! Mapping of names to cells by a hash.

use sapphirestile_core::CellNumber;

/// Spreads names over a fixed number of cells.
///
/// A cell holds workers of every zone, so that its jobs continue in other zones when
/// one zone is taken out.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::CellMap;
///
/// let map = CellMap::new(4);
/// assert_eq!(map.cell_of_job("patterns"), map.cell_of_job("patterns"));
/// assert!(map.cell_of_worker("worker-1").get() < 4);
/// assert_eq!(map.preferred_owner(map.cells().next().unwrap(), &[]), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellMap {
    count: u16,
}

impl CellMap {
    /// Creates a map of `count` cells.
    ///
    /// # Panics
    ///
    /// When `count` is zero.
    #[must_use]
    pub const fn new(count: u16) -> Self {
        assert!(count > 0, "the number of cells is 0, expected at least 1");
        Self { count }
    }

    /// Number of cells.
    #[must_use]
    pub const fn count(self) -> u16 {
        self.count
    }

    /// All cells in ascending order.
    pub fn cells(self) -> impl Iterator<Item = CellNumber> {
        (0..self.count).map(CellNumber::new)
    }

    /// The cell that a worker belongs to.
    #[must_use]
    pub fn cell_of_worker(self, worker: &str) -> CellNumber {
        self.cell_of("worker", worker)
    }

    /// The cells without workers; jobs that belong to them never start.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_cells::CellMap;
    ///
    /// let workers = ["worker-1", "worker-2", "worker-3"];
    /// assert_eq!(CellMap::new(1).empty_cells(workers.into_iter()), []);
    /// assert!(CellMap::new(4).empty_cells(workers.into_iter()).len() >= 1);
    /// ```
    pub fn empty_cells<'w>(self, workers: impl Iterator<Item = &'w str>) -> Vec<CellNumber> {
        let mut occupied: Vec<CellNumber> = workers.map(|name| self.cell_of_worker(name)).collect();
        occupied.sort_unstable();
        occupied.dedup();
        let is_empty = |cell: &CellNumber| occupied.binary_search(cell).is_err();
        self.cells().filter(is_empty).collect()
    }

    /// The cell that a job belongs to.
    #[must_use]
    pub fn cell_of_job(self, job: &str) -> CellNumber {
        self.cell_of("job", job)
    }

    /// The cell that records requests with this idempotency key.
    #[must_use]
    pub fn cell_of_key(self, key: &str) -> CellNumber {
        self.cell_of("key", key)
    }

    /// The cell that lends shares of a customer's quota.
    #[must_use]
    pub fn lender_of(self, customer: &str) -> CellNumber {
        self.cell_of("customer", customer)
    }

    /// The daemon with the highest rendezvous weight for the cell; `None` when `daemons`
    /// is empty.
    #[must_use]
    pub fn preferred_owner<'d>(self, cell: CellNumber, daemons: &[&'d str]) -> Option<&'d str> {
        let weight = |daemon: &&str| hash_of(&["owner", daemon, &cell.to_string()]);
        daemons.iter().copied().max_by_key(weight)
    }

    fn cell_of(self, kind: &str, name: &str) -> CellNumber {
        let index = hash_of(&[kind, name]) % u64::from(self.count);
        CellNumber::new(
            u16::try_from(index).expect("a hash modulo the number of cells, a u16, fits in u16"),
        )
    }
}

fn hash_of(parts: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(b"\0");
    }
    let hash = hasher.finalize();
    let (first, _) = hash
        .as_bytes()
        .split_first_chunk::<8>()
        .expect("a BLAKE3 hash has 32 bytes");
    u64::from_le_bytes(*first)
}
