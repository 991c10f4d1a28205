//! A value that is read without a lock and replaced as a whole.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use arc_swap::Guard;

/// Holds a value by read-copy-update: readers never wait, writers take turns.
///
/// # Examples
///
/// ```
/// use sapphirestile_serving::SwapHolder;
///
/// let holder = SwapHolder::new(1);
/// holder.update(|number| number + 1);
/// assert_eq!(**holder.load(), 2);
/// ```
#[derive(Debug, Default)]
pub struct SwapHolder<T> {
    value: ArcSwap<T>,
    writing: Mutex<()>,
}

impl<T> SwapHolder<T> {
    /// Holds `value`.
    pub fn new(value: T) -> Self {
        Self {
            value: ArcSwap::from_pointee(value),
            writing: Mutex::new(()),
        }
    }

    /// The value as it is now.
    pub fn load(&self) -> Guard<Arc<T>> {
        self.value.load()
    }

    /// The value as it is now, to keep for longer.
    pub fn load_full(&self) -> Arc<T> {
        self.value.load_full()
    }

    /// Replaces the value by one made from it.
    pub fn update(&self, change: impl FnOnce(&T) -> T) {
        // A writer that panicked left the old value in place.
        let _turn = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = change(&self.value.load());
        self.value.store(Arc::new(changed));
    }
}
