//! Read-copy-update value.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use arc_swap::Guard;

/// A value that is read without a lock and replaced as a whole (read-copy-update).
/// Readers never block; writers are serialized.
///
/// # Examples
///
/// ```
/// use sapphirestile_serving::RcuValue;
///
/// let value = RcuValue::new(1);
/// value.update(|number| number + 1);
/// assert_eq!(**value.load(), 2);
/// ```
#[derive(Debug, Default)]
pub struct RcuValue<T> {
    value: ArcSwap<T>,
    writing: Mutex<()>,
}

impl<T> RcuValue<T> {
    /// Creates a value that starts as `value`.
    pub fn new(value: T) -> Self {
        Self {
            value: ArcSwap::from_pointee(value),
            writing: Mutex::new(()),
        }
    }

    /// The current value, for short use.
    pub fn load(&self) -> Guard<Arc<T>> {
        self.value.load()
    }

    /// The current value, to keep for longer.
    pub fn load_full(&self) -> Arc<T> {
        self.value.load_full()
    }

    /// Replaces the value by the result of `change`, which is given the current one.
    pub fn update(&self, change: impl FnOnce(&T) -> T) {
        // A poisoned lock is harmless: a writer that panicked left the old value in
        // place.
        let _lock = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = change(&self.value.load());
        self.value.store(Arc::new(changed));
    }
}
