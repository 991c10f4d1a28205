//! Distribution of a job's tasks over racks and zones.

use sapphirestile_core::RackName;
use sapphirestile_core::SortedTable;
use sapphirestile_core::ZoneName;

/// The number of a job's assigned tasks in each rack and zone.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::RackName;
/// use sapphirestile_core::ZoneName;
/// use sapphirestile_placement::PlacedTasks;
///
/// let rack = RackName::try_from("a-1").unwrap();
/// let zone = ZoneName::try_from("a").unwrap();
/// let mut tasks = PlacedTasks::default();
/// tasks.add(&rack, &zone);
/// assert_eq!(tasks.in_rack(&rack), 1);
/// tasks.remove(&rack, &zone);
/// assert_eq!(tasks.in_zone(&zone), 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacedTasks {
    by_rack: SortedTable<RackName, u32>,
    by_zone: SortedTable<ZoneName, u32>,
}

impl PlacedTasks {
    /// Adds a task assigned to a worker in `rack` of `zone`.
    pub fn add(&mut self, rack: &RackName, zone: &ZoneName) {
        *self.by_rack.get_or_insert_with(rack.clone(), || 0) += 1;
        *self.by_zone.get_or_insert_with(zone.clone(), || 0) += 1;
    }

    /// Removes an ended task in `rack` of `zone`.
    ///
    /// Racks and zones without tasks are ignored.
    pub fn remove(&mut self, rack: &RackName, zone: &ZoneName) {
        decrement(&mut self.by_rack, rack.as_str());
        decrement(&mut self.by_zone, zone.as_str());
    }

    /// The number of tasks in `rack`.
    #[must_use]
    pub fn in_rack(&self, rack: &RackName) -> u32 {
        self.by_rack.get(rack.as_str()).copied().unwrap_or(0)
    }

    /// The number of tasks in `zone`.
    #[must_use]
    pub fn in_zone(&self, zone: &ZoneName) -> u32 {
        self.by_zone.get(zone.as_str()).copied().unwrap_or(0)
    }
}

fn decrement<K>(table: &mut SortedTable<K, u32>, key: &str)
where
    K: Ord + std::borrow::Borrow<str>,
{
    if let Some(count) = table.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            table.remove(key);
        }
    }
}
