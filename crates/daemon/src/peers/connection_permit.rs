//! Permits that limit the number of open connections.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// A permit for one open connection; dropping it frees its place.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::sync::atomic::AtomicUsize;
///
/// use sapphirestile_daemon::peers::ConnectionPermit;
///
/// let open = Arc::new(AtomicUsize::new(0));
/// let permit = ConnectionPermit::try_acquire(&open, 1).unwrap();
/// assert!(ConnectionPermit::try_acquire(&open, 1).is_none());
/// drop(permit);
/// assert!(ConnectionPermit::try_acquire(&open, 1).is_some());
/// ```
#[derive(Debug)]
pub struct ConnectionPermit {
    open: Arc<AtomicUsize>,
}

impl ConnectionPermit {
    /// Acquires a permit while fewer than `limit` connections are open; `None` otherwise.
    /// `open` counts the connections of a port.
    #[must_use]
    pub fn try_acquire(open: &Arc<AtomicUsize>, limit: usize) -> Option<Self> {
        let increment = |count| (count < limit).then_some(count + 1);
        open.fetch_update(Ordering::AcqRel, Ordering::Acquire, increment)
            .ok()?;
        Some(Self {
            open: Arc::clone(open),
        })
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}
