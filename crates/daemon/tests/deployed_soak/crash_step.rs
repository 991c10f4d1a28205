//! Steps of crashes of daemons and workers.

use crate::soak_fault::SoakFault;
use crate::worker_return::WorkerReturn;

/// A step of a crash: what happens to one daemon or worker at one time. Losses of power are
/// numbered from 0 in each series. The worker of rank 0 is the one that runs most long-running
/// tasks at that time.
#[derive(Clone, Copy, Debug)]
pub enum CrashStep {
    /// Kills a daemon.
    KillDaemon(usize),
    /// Restarts a daemon unless it runs.
    StartDaemon(usize),
    /// Takes the power of the worker of that rank.
    LosePower { loss: usize, rank: usize },
    /// Starts the next life of the worker of that loss.
    RestorePower { loss: usize, how: WorkerReturn },
    /// Removes the entry of the worker of that loss.
    RemoveEntry { loss: usize },
    /// Freezes a daemon, or disrupts the store or a link.
    Disrupt(SoakFault),
    /// Cuts the link of all daemons to the worker of that rank.
    CutLink { rank: usize },
    /// Ends every disruption.
    EndDisruptions,
}

impl CrashStep {
    /// Whether the step disturbs the daemons, besides what an earlier step did.
    pub const fn is_disturbance(self) -> bool {
        !matches!(self, Self::RemoveEntry { .. })
    }
}
