//! A bag with a fixed bound.

/// At most `N` values, in order, equal ones once.
///
/// Networks are modelled with it: a message that stands in the bag may be
/// delivered any number of times, in any order, or be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SmallBag<T, const N: usize> {
    places: [Option<T>; N],
}

impl<T: Copy + Ord, const N: usize> SmallBag<T, N> {
    /// The empty bag.
    pub(crate) const fn new() -> Self {
        Self { places: [None; N] }
    }

    /// The values in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = T> + use<T, N> {
        self.places.into_iter().flatten()
    }

    /// How many values the bag holds.
    pub(crate) fn len(&self) -> usize {
        self.iter().count()
    }

    /// Whether `value` is in the bag.
    pub(crate) fn contains(&self, value: &T) -> bool {
        self.places.contains(&Some(*value))
    }

    /// Adds `value`; false when the bag has no place for it.
    pub(crate) fn insert(&mut self, value: T) -> bool {
        if self.contains(&value) {
            return true;
        }
        let Some(place) = self.places.iter_mut().find(|place| place.is_none()) else {
            return false;
        };
        *place = Some(value);
        self.places.sort_unstable();
        true
    }

    /// Removes `value`.
    pub(crate) fn remove(&mut self, value: &T) {
        for place in &mut self.places {
            if *place == Some(*value) {
                *place = None;
            }
        }
        self.places.sort_unstable();
    }

    /// Replaces each value by what `change` makes of it.
    pub(crate) fn change(&mut self, change: impl Fn(T) -> T) {
        let values = self.places;
        self.places = [None; N];
        for value in values.into_iter().flatten() {
            self.insert(change(value));
        }
    }
}
