//! Why a task waited.

use std::fmt;

use crate::planner::PlacementCensus;

/// Why a long-running task that has run waited for a worker, in samples that were taken of the
/// workers of its cell and of the reports of other cells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitCauses {
    /// Samples in which a worker had room: the task waited for its turn.
    pub for_turn: u32,
    /// Samples in which most workers got no task.
    pub unusable: u32,
    /// Samples in which most workers lacked what the task needs other than room.
    pub unsuitable: u32,
    /// Samples in which most workers were smaller than the task.
    pub too_small: u32,
    /// Samples in which some workers had no room beside tasks that complete.
    pub occupied_by_short: u32,
    /// Samples in which most workers had no room beside long-running tasks.
    pub occupied_by_long: u32,
    /// Samples in which most workers had too little left for a best-effort task.
    pub little_left: u32,
    /// Views of the other cells.
    pub views: u32,
    /// Views in which no other cell reported a worker with room.
    pub views_without_room: u32,
}

impl WaitCauses {
    /// Counts a sample in which no worker had room. A worker that only lacks room beside short
    /// tasks is the nearest to having it, so it counts before all others.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_jobs::PlacementCensus;
    /// use sapphirestile_jobs::WaitCauses;
    ///
    /// let full = PlacementCensus {
    ///     unusable: 3,
    ///     occupied_by_long: 9,
    ///     ..PlacementCensus::default()
    /// };
    /// let mut causes = WaitCauses::default();
    /// causes.count_refusal(&full);
    /// causes.count_refusal(&PlacementCensus { occupied_by_short: 1, ..full });
    /// causes.count_view(false);
    /// assert_eq!(
    ///     causes.to_string(),
    ///     "occupied_by_short=1 occupied_by_long=1 views=1 views_without_room=1"
    /// );
    /// ```
    pub fn count_refusal(&mut self, census: &PlacementCensus) {
        if census.occupied_by_short > 0 {
            self.occupied_by_short += 1;
            return;
        }
        let little_left = census.little_memory
            + census.little_idle_cpu
            + census.high_latency
            + census.interference;
        let counts = [
            (census.unusable, &mut self.unusable),
            (census.unsuitable, &mut self.unsuitable),
            (census.too_small, &mut self.too_small),
            (census.occupied_by_long, &mut self.occupied_by_long),
            (little_left, &mut self.little_left),
        ];
        let most = counts.into_iter().max_by_key(|(workers, _)| *workers);
        if let Some((_, samples)) = most {
            *samples += 1;
        }
    }

    /// Counts a sample in which a worker had room.
    pub const fn count_turn(&mut self) {
        self.for_turn += 1;
    }

    /// Counts a view of the other cells.
    pub fn count_view(&mut self, has_room: bool) {
        self.views += 1;
        self.views_without_room += u32::from(!has_room);
    }
}

impl fmt::Display for WaitCauses {
    /// Writes the counts above 0.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = [
            ("for_turn", self.for_turn),
            ("unusable", self.unusable),
            ("unsuitable", self.unsuitable),
            ("too_small", self.too_small),
            ("occupied_by_short", self.occupied_by_short),
            ("occupied_by_long", self.occupied_by_long),
            ("little_left", self.little_left),
            ("views", self.views),
            ("views_without_room", self.views_without_room),
        ];
        let mut separator = "";
        for (name, count) in counts {
            if count > 0 {
                write!(formatter, "{separator}{name}={count}")?;
                separator = " ";
            }
        }
        Ok(())
    }
}
