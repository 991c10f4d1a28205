//! The choice of a worker for a task.

use crate::journal::JobOrder;
use crate::owner::worker_view::WorkerView;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;

/// Chooses the worker with the most processor time left among those that have
/// room, may be given a start now, and lie in a zone that the job allows.
pub fn choose_worker<'a>(
    workers: &'a SortedTable<WorkerName, WorkerView>,
    given: &SortedTable<WorkerName, ResourceSize>,
    order: &JobOrder,
    usable: impl Fn(&WorkerView) -> bool,
) -> Option<&'a WorkerView> {
    let allowed =
        |view: &WorkerView| order.zones.is_empty() || order.zones.contains(&view.facts.zone);
    let room = |view: &WorkerView| {
        let taken = given
            .get(view.facts.worker.as_str())
            .copied()
            .unwrap_or_default();
        view.facts.size.minus(&taken)
    };
    workers
        .values()
        .filter(|view| view.facts.takes_work && allowed(view) && usable(view))
        .filter(|view| order.size.fits_in(&room(view)))
        .max_by_key(|view| room(view).cpu_milli)
}
