//! Choice of a cell for a job.

use sapphirestile_core::CellNumber;
use sapphirestile_core::SortedTable;

use crate::division::CellLayout;
use crate::division::CellLoad;
use crate::division::JobNeed;
use crate::spec::JobSpec;

/// The lowest excess of a cell's pressure over another's at which a waiting job moves there.
const MOVE_EXCESS: f64 = 0.5;

/// Chooses a cell for a job from loads that are up to a second old. A new job goes to the
/// better of two random cells: with the best of all, every daemon would send its jobs to the
/// same cell until the next loads are known.
#[derive(Clone, Copy, Debug)]
pub struct CellChoice<'a> {
    /// Which cell has which rack.
    pub layout: &'a CellLayout,
    /// Loads of the cells that have an owner, sorted by cell.
    pub loads: &'a [(CellNumber, &'a CellLoad)],
}

impl CellChoice<'_> {
    /// Cell for a new job whose queue runs on `service`. `draws` are two random numbers.
    /// Without a cell that can run every step it is the one with the most workers of the
    /// service, and cell 0 if no owner has reported any.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::CellNumber;
    /// use sapphirestile_jobs::CellChoice;
    /// use sapphirestile_jobs::CellLayout;
    /// use sapphirestile_jobs::JobSpec;
    /// use sapphirestile_jobs::QueueTerms;
    ///
    /// let spec = JobSpec {
    ///     queue: "charts".into(),
    ///     terms: QueueTerms { service: "sizing".into(), priority: 0, attempts: 3 },
    ///     text: "".into(),
    ///     steps: Vec::new(),
    ///     repeat: None,
    ///     accepted_unix_ms: 0,
    /// };
    /// let choice = CellChoice { layout: &CellLayout::default(), loads: &[] };
    /// assert_eq!(choice.for_new_job(&spec, "sizing", [3, 4]), CellNumber::new(0));
    /// ```
    #[must_use]
    pub fn for_new_job(&self, spec: &JobSpec, service: &str, draws: [u32; 2]) -> CellNumber {
        let need = JobNeed::from(spec);
        let hosts: Vec<(CellNumber, f64)> = self
            .loads
            .iter()
            .filter_map(|(cell, load)| Some((*cell, load.room_for(spec, service)?.pressure(&need))))
            .collect();
        let draws = draws.map(|draw| draw as usize);
        if let Some(cell) = self.data_cell(spec)
            && hosts.iter().any(|(host, _)| *host == cell)
        {
            return cell;
        }
        if hosts.is_empty() {
            return self.largest_cell(service);
        }
        let first = draws[0] % hosts.len();
        let step = 1 + draws[1] % (hosts.len() - 1).max(1);
        let second = (first + step) % hosts.len();
        let (one, other) = (hosts[first], hosts[second]);
        if other.1 < one.1 { other.0 } else { one.0 }
    }

    /// Cell to which a job moves that waits in `own`: the one under the least pressure, if
    /// the job need not wait there, and `own` is under clearly more or cannot run the job.
    #[must_use]
    pub fn for_waiting_job(
        &self,
        spec: &JobSpec,
        service: &str,
        own: CellNumber,
        own_load: &CellLoad,
    ) -> Option<CellNumber> {
        let need = JobNeed::from(spec);
        let own_pressure = own_load
            .room_for(spec, service)
            .map_or(f64::INFINITY, |room| room.pressure(&need));
        let (cell, pressure) = self.least_pressed_other(spec, service, own, &SortedTable::new())?;
        (own_pressure > pressure + MOVE_EXCESS).then_some(cell)
    }

    /// Cell other than `own` with the most room for a job, if the job need not wait there.
    /// `moved` has what moved to each cell since its load was reported.
    #[must_use]
    pub fn roomiest_other(
        &self,
        spec: &JobSpec,
        service: &str,
        own: CellNumber,
        moved: &SortedTable<CellNumber, JobNeed>,
    ) -> Option<CellNumber> {
        let (cell, _) = self.least_pressed_other(spec, service, own, moved)?;
        Some(cell)
    }

    /// Cell other than `own` under the least pressure, if the job need not wait there, and that
    /// pressure.
    fn least_pressed_other(
        &self,
        spec: &JobSpec,
        service: &str,
        own: CellNumber,
        moved: &SortedTable<CellNumber, JobNeed>,
    ) -> Option<(CellNumber, f64)> {
        let own_need = JobNeed::from(spec);
        let others = self.loads.iter().filter(|(cell, _)| *cell != own);
        let rooms = others.filter_map(|(cell, load)| {
            let before = moved.get(cell).copied().unwrap_or_default();
            let need = own_need.plus(&before);
            let pressure = load.room_for(spec, service)?.pressure(&need);
            Some((*cell, pressure))
        });
        let least = rooms.min_by(|one, other| one.1.total_cmp(&other.1));
        least.filter(|(_, pressure)| *pressure <= 1.0)
    }

    /// Cell with the most workers of a service.
    fn largest_cell(&self, service: &str) -> CellNumber {
        let workers = |load: &CellLoad| load.room(service).map(|room| room.workers);
        let sizes = self
            .loads
            .iter()
            .filter_map(|(cell, load)| Some((workers(load)?, *cell)));
        sizes.max().map_or(CellNumber::new(0), |(_, cell)| cell)
    }

    /// Cell that has the rack with the data of the first step that names one.
    fn data_cell(&self, spec: &JobSpec) -> Option<CellNumber> {
        let rack = spec.steps.iter().find_map(|step| step.data_rack.as_ref())?;
        self.layout.cell_of_label(rack)
    }
}
