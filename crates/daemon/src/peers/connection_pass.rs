//! A connection that was let in.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Counts a connection as open until it is dropped.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::sync::atomic::AtomicUsize;
///
/// use sapphirestile_daemon::peers::ConnectionPass;
///
/// let open = Arc::new(AtomicUsize::new(0));
/// let pass = ConnectionPass::take(&open, 1).unwrap();
/// assert!(ConnectionPass::take(&open, 1).is_none());
/// drop(pass);
/// assert!(ConnectionPass::take(&open, 1).is_some());
/// ```
#[derive(Debug)]
pub struct ConnectionPass {
    open: Arc<AtomicUsize>,
}

impl ConnectionPass {
    /// Lets a connection in while fewer than `limit` are open.
    #[must_use]
    pub fn take(open: &Arc<AtomicUsize>, limit: usize) -> Option<Self> {
        let more = |count| (count < limit).then_some(count + 1);
        open.fetch_update(Ordering::AcqRel, Ordering::Acquire, more)
            .ok()?;
        Some(Self {
            open: Arc::clone(open),
        })
    }
}

impl Drop for ConnectionPass {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}
