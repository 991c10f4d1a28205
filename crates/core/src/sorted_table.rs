//! A table in a sorted vector.

use std::borrow::Borrow;

use serde::Deserialize;
use serde::Serialize;

/// A table kept as a sorted vector and searched by halving.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::SortedTable;
///
/// let mut table = SortedTable::new();
/// table.insert("b", 2);
/// table.insert("a", 1);
/// assert_eq!(table.get("b"), Some(&2));
/// assert_eq!(table.keys().copied().collect::<Vec<_>>(), ["a", "b"]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SortedTable<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for SortedTable<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K: Ord, V> SortedTable<K, V> {
    /// An empty table.
    #[must_use]
    pub const fn new() -> Self {
        Self { rows: Vec::new() }
    }

    /// The value at `key`.
    #[must_use]
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        let place = self.search(key).ok()?;
        Some(&self.rows[place].1)
    }

    /// The value at `key`, to change in place.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        let place = self.search(key).ok()?;
        Some(&mut self.rows[place].1)
    }

    /// Whether the table has a row at `key`.
    #[must_use]
    pub fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.search(key).is_ok()
    }

    /// Puts `value` at `key` and returns the value that stood there.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.search(&key) {
            Ok(place) => Some(std::mem::replace(&mut self.rows[place].1, value)),
            Err(place) => {
                self.rows.insert(place, (key, value));
                None
            }
        }
    }

    /// Puts a run of rows in at once, which moves the rows after it only once.
    ///
    /// # Panics
    ///
    /// When the keys of the run are not in order, or a row of the table has one
    /// of them or lies between them.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::SortedTable;
    ///
    /// let mut table: SortedTable<u32, char> = [(1, 'a'), (9, 'z')].into_iter().collect();
    /// table.insert_run(vec![(4, 'd'), (5, 'e')]);
    /// assert_eq!(table.keys().copied().collect::<Vec<_>>(), [1, 4, 5, 9]);
    /// ```
    pub fn insert_run(&mut self, run: Vec<(K, V)>) {
        let Some(((first, _), (last, _))) = run.first().zip(run.last()) else {
            return;
        };
        assert!(
            run.is_sorted_by(|(left, _), (right, _)| left < right),
            "a run of rows is out of order"
        );
        let (before, after) = (self.search(first), self.search(last));
        assert_eq!(before, after, "a row lies between those of a run");
        let place = before.expect_err("a row of a run is there already");
        self.rows.splice(place..place, run);
    }

    /// The value at `key`, put there first when the table has none.
    pub fn get_or_insert_with(&mut self, key: K, value: impl FnOnce() -> V) -> &mut V {
        let place = match self.search(&key) {
            Ok(place) => place,
            Err(place) => {
                self.rows.insert(place, (key, value()));
                place
            }
        };
        &mut self.rows[place].1
    }

    /// Takes the row at `key` out.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        let place = self.search(key).ok()?;
        Some(self.rows.remove(place).1)
    }

    /// Keeps the rows for which `keep` holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(key, value)| keep(key, value));
    }

    /// The rows in the order of their keys.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&K, &V)> + DoubleEndedIterator {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// The rows in the order of their keys, values to change in place.
    pub fn iter_mut(&mut self) -> impl ExactSizeIterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// The keys in order.
    #[must_use]
    pub fn keys(&self) -> impl ExactSizeIterator<Item = &K> {
        self.rows.iter().map(|(key, _)| key)
    }

    /// The values in the order of their keys.
    #[must_use]
    pub fn values(&self) -> impl ExactSizeIterator<Item = &V> {
        self.rows.iter().map(|(_, value)| value)
    }

    /// How many rows the table has.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn search<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: Borrow<Q>,
    {
        self.rows
            .binary_search_by(|(stored, _)| stored.borrow().cmp(key))
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedTable<K, V> {
    /// Of several rows with one key the last stays.
    fn from_iter<I: IntoIterator<Item = (K, V)>>(rows: I) -> Self {
        let mut rows: Vec<(K, V)> = rows.into_iter().collect();
        // The sort is stable, so that the last row of a key comes first when read
        // backwards.
        rows.reverse();
        rows.sort_by(|(left, _), (right, _)| left.cmp(right));
        rows.dedup_by(|(later, _), (kept, _)| later == kept);
        Self { rows }
    }
}
