//! Count of panics that ended a connection.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counts the panics of the HTTP library that ended one connection each. Panic hooks apply
/// to the whole process, and so does this count.
///
/// # Examples
///
/// ```
/// use sapphirestile_serving::ConnectionPanics;
///
/// let before = ConnectionPanics::of_process().count();
/// ConnectionPanics::of_process().add();
/// assert_eq!(ConnectionPanics::of_process().count(), before + 1);
/// ```
#[derive(Debug)]
pub struct ConnectionPanics {
    count: AtomicU64,
}

impl ConnectionPanics {
    /// The count of this process.
    #[must_use]
    pub fn of_process() -> &'static Self {
        static OF_PROCESS: ConnectionPanics = ConnectionPanics {
            count: AtomicU64::new(0),
        };
        &OF_PROCESS
    }

    /// Counts a panic.
    pub fn add(&self) {
        self.count.fetch_add(1, Ordering::Relaxed);
    }

    /// The number of panics since the process started.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}
