//! A map kept in a sorted vector.

use std::borrow::Borrow;

use serde::Deserialize;
use serde::Serialize;

/// A map kept as a vector of rows sorted by key, with lookup by binary search.
///
/// It is serialized as a sequence of pairs.
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

    /// The value at `key`; `None` when the table has no such row.
    #[must_use]
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        let index = self.search(key).ok()?;
        Some(&self.rows[index].1)
    }

    /// A mutable reference to the value at `key`; `None` when the table has no such row.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        let index = self.search(key).ok()?;
        Some(&mut self.rows[index].1)
    }

    /// Whether the table has a row at `key`.
    #[must_use]
    pub fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.search(key).is_ok()
    }

    /// Sets the value at `key` and returns the previous one, if any.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.search(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.rows[index].1, value)),
            Err(index) => {
                self.rows.insert(index, (key, value));
                None
            }
        }
    }

    /// Inserts consecutive rows at once, which shifts the rows after them only once.
    ///
    /// # Panics
    ///
    /// If the keys of `new_rows` are not strictly ascending, or if the table has a row
    /// with one of these keys or with a key between them.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::SortedTable;
    ///
    /// let mut table: SortedTable<u32, char> = [(1, 'a'), (9, 'z')].into_iter().collect();
    /// table.insert_sorted(vec![(4, 'd'), (5, 'e')]);
    /// assert_eq!(table.keys().copied().collect::<Vec<_>>(), [1, 4, 5, 9]);
    /// ```
    pub fn insert_sorted(&mut self, new_rows: Vec<(K, V)>) {
        let Some(((first, _), (last, _))) = new_rows.first().zip(new_rows.last()) else {
            return;
        };
        assert!(
            new_rows.is_sorted_by(|(left, _), (right, _)| left < right),
            "the keys of the inserted rows are not strictly ascending"
        );
        let (before, after) = (self.search(first), self.search(last));
        assert_eq!(
            before, after,
            "the table has a row between the first and the last inserted row"
        );
        let index =
            before.expect_err("the table already has a row with the key of an inserted row");
        self.rows.splice(index..index, new_rows);
    }

    /// A mutable reference to the value at `key`, after inserting `value()` if there was
    /// none.
    pub fn get_or_insert_with(&mut self, key: K, value: impl FnOnce() -> V) -> &mut V {
        let index = match self.search(&key) {
            Ok(index) => index,
            Err(index) => {
                self.rows.insert(index, (key, value()));
                index
            }
        };
        &mut self.rows[index].1
    }

    /// Removes the row at `key` and returns its value; `None` when there is no such row.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        let index = self.search(key).ok()?;
        Some(self.rows.remove(index).1)
    }

    /// Removes the rows for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(key, value)| keep(key, value));
    }

    /// The rows in the order of their keys.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&K, &V)> + DoubleEndedIterator {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// The rows in the order of their keys, with mutable values.
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

    /// The number of rows.
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
    /// Collects the rows; of several rows with the same key the last one is kept.
    fn from_iter<I: IntoIterator<Item = (K, V)>>(rows: I) -> Self {
        let mut rows: Vec<(K, V)> = rows.into_iter().collect();
        // Reversed rows and a stable sort put the last row of each key first, which is
        // the one that `dedup_by` keeps.
        rows.reverse();
        rows.sort_by(|(left, _), (right, _)| left.cmp(right));
        rows.dedup_by(|(later, _), (kept, _)| later == kept);
        Self { rows }
    }
}
