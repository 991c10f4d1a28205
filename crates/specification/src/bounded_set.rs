//! A set with a fixed capacity.

/// A sorted set of at most `N` values.
///
/// It models a network: a message in the set can be delivered any number of times, in
/// any order, or be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct BoundedSet<T, const N: usize> {
    slots: [Option<T>; N],
}

impl<T: Copy + Ord, const N: usize> BoundedSet<T, N> {
    /// An empty set.
    pub(crate) const fn new() -> Self {
        Self { slots: [None; N] }
    }

    /// The values in ascending order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = T> + use<T, N> {
        self.slots.into_iter().flatten()
    }

    /// Number of values.
    pub(crate) fn len(&self) -> usize {
        self.iter().count()
    }

    /// Whether the set contains `value`.
    pub(crate) fn contains(&self, value: &T) -> bool {
        self.slots.contains(&Some(*value))
    }

    /// Adds `value`. Returns false if the set is full and does not contain it.
    pub(crate) fn insert(&mut self, value: T) -> bool {
        if self.contains(&value) {
            return true;
        }
        let Some(slot) = self.slots.iter_mut().find(|slot| slot.is_none()) else {
            return false;
        };
        *slot = Some(value);
        self.slots.sort_unstable();
        true
    }

    /// Removes `value`, if the set contains it.
    pub(crate) fn remove(&mut self, value: &T) {
        for slot in &mut self.slots {
            if *slot == Some(*value) {
                *slot = None;
            }
        }
        self.slots.sort_unstable();
    }

    /// Replaces each value by `map` of it; equal results become one value.
    pub(crate) fn map_values(&mut self, map: impl Fn(T) -> T) {
        let values = self.slots;
        self.slots = [None; N];
        for value in values.into_iter().flatten() {
            self.insert(map(value));
        }
    }
}
