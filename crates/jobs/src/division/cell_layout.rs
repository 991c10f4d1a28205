//! Assignment of racks to cells.

use sapphirestile_core::CellNumber;
use sapphirestile_core::SortedTable;
use sapphirestile_core::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::division::RackSize;
use crate::worker::WorkerEntry;

/// Assignment of racks to cells. Racks and cells are only added, so the cell of a worker,
/// and with it the sequence of its fencing tokens, never changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellLayout {
    cells: u16,
    /// Cell of each rack, sorted by the rack's key.
    racks: Vec<(Box<str>, CellNumber)>,
}

impl CellLayout {
    /// Number of cells; 0 before the first workers are listed.
    #[must_use]
    pub const fn cells(&self) -> u16 {
        self.cells
    }

    /// Key of a worker's rack: its zone, and the last of its labels if it has any. Workers
    /// without labels count as one rack a zone.
    #[must_use]
    pub fn rack_of(entry: &WorkerEntry) -> Box<str> {
        let rack = entry.labels.last().map_or("", |label| &**label);
        format!("{}/{rack}", entry.zone).into()
    }

    /// Cell of a worker; `None` if its rack is not assigned yet.
    #[must_use]
    pub fn cell_of(&self, entry: &WorkerEntry) -> Option<CellNumber> {
        let rack = Self::rack_of(entry);
        let found = self.racks.binary_search_by(|(key, _)| key.cmp(&rack));
        found.ok().map(|index| self.racks[index].1)
    }

    /// Cell that has the rack with this label, in any zone; `None` if none has.
    #[must_use]
    pub fn cell_of_label(&self, label: &str) -> Option<CellNumber> {
        let has_label = |key: &str| key.rsplit_once('/').is_some_and(|(_, rack)| rack == label);
        let found = self.racks.iter().find(|(key, _)| has_label(key));
        found.map(|(_, cell)| *cell)
    }

    /// The layout with the racks of `sizes` that it lacks; `None` if it lacks none. Cells are
    /// added so that each has at most `workers_max` workers on average. Each rack goes to the
    /// cell with the fewest workers of its zone, so that a zone that is taken out of service
    /// leaves every cell some workers.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::SortedTable;
    /// use sapphirestile_core::ZoneName;
    /// use sapphirestile_jobs::CellLayout;
    /// use sapphirestile_jobs::RackSize;
    ///
    /// let rack = |zone: &str| RackSize { zone: ZoneName::try_from(zone).unwrap(), workers: 20 };
    /// let sizes: SortedTable<Box<str>, RackSize> = [
    ///     ("near-a/r1".into(), rack("near-a")),
    ///     ("near-a/r2".into(), rack("near-a")),
    ///     ("near-b/r1".into(), rack("near-b")),
    /// ]
    /// .into_iter()
    /// .collect();
    /// let layout = CellLayout::default().extended(&sizes, 40).unwrap();
    /// assert_eq!(layout.cells(), 2);
    /// assert_eq!(layout.extended(&sizes, 40), None);
    /// ```
    #[must_use]
    pub fn extended(
        &self,
        sizes: &SortedTable<Box<str>, RackSize>,
        workers_max: usize,
    ) -> Option<Self> {
        let is_known = |rack: &str| self.racks.binary_search_by(|(key, _)| (**key).cmp(rack));
        let new: Vec<(&Box<str>, &RackSize)> = sizes
            .iter()
            .filter(|(rack, _)| is_known(rack).is_err())
            .collect();
        if new.is_empty() {
            return None;
        }
        let workers: usize = sizes.values().map(|size| size.workers).sum();
        let needed = workers.div_ceil(workers_max.max(1)).max(1);
        let mut extended = self.clone();
        extended.cells = self.cells.max(u16::try_from(needed).unwrap_or(u16::MAX));
        for (rack, size) in new {
            let cell = extended.lightest_cell(sizes, &size.zone);
            let at = extended.racks.partition_point(|(key, _)| key < rack);
            extended.racks.insert(at, (rack.clone(), cell));
        }
        Some(extended)
    }

    /// The cell with the fewest workers of a zone, and among those the fewest workers.
    fn lightest_cell(
        &self,
        sizes: &SortedTable<Box<str>, RackSize>,
        zone: &ZoneName,
    ) -> CellNumber {
        let mut loads = vec![(0, 0); usize::from(self.cells)];
        for (rack, cell) in &self.racks {
            let Some(size) = sizes.get(rack) else {
                continue;
            };
            let Some(load) = loads.get_mut(usize::from(cell.get())) else {
                continue;
            };
            load.1 += size.workers;
            if size.zone == *zone {
                load.0 += size.workers;
            }
        }
        let lightest = (0..self.cells).min_by_key(|cell| loads[usize::from(*cell)]);
        CellNumber::new(lightest.unwrap_or(0))
    }
}
