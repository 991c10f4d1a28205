//! State of the transfer protocol.

use crate::task_transfer::late_commit::LateCommit;
use crate::task_transfer::task_view::TaskView;
use crate::task_transfer::transfer_owner::TransferOwner;
use crate::task_transfer::transfer_store::TransferStore;

/// State of the store, the owners and the workers. Arrays have the home first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferState {
    /// The rows in the store.
    pub store: TransferStore,
    /// The present owner of each cell.
    pub owners: [TransferOwner; 2],
    /// A commit of a former owner that may still be applied.
    pub late: Option<LateCommit>,
    /// Whether a worker of the cell runs the task.
    pub runs: [bool; 2],
    /// Number of runs that have ended.
    pub ends: u8,
}

impl Default for TransferState {
    fn default() -> Self {
        let home = TransferOwner {
            epoch: 1,
            view: TaskView::Waiting,
            ..TransferOwner::default()
        };
        let host = TransferOwner {
            epoch: 1,
            ..TransferOwner::default()
        };
        Self {
            store: TransferStore {
                epochs: [1, 1],
                records: [TaskView::Waiting, TaskView::Elsewhere],
                numbers: [0, 0],
                rows: [None, None],
                is_cancelled: [false, false],
            },
            owners: [home, host],
            late: None,
            runs: [false, false],
            ends: 0,
        }
    }
}
