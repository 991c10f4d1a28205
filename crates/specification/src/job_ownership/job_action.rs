//! What may happen around a task.

/// One step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAction {
    /// Time passes.
    Tick,
    /// Time passes, and the clock of a suspended daemon stands still.
    Suspend {
        /// The daemon.
        daemon: u8,
    },
    /// A daemon claims the head row and reads the record.
    Claim {
        /// The daemon.
        daemon: u8,
    },
    /// An owner assigns the task to a worker.
    Plan {
        /// The owner.
        daemon: u8,
        /// The worker.
        worker: u8,
    },
    /// An owner sends a batch.
    SendBatch {
        /// The owner.
        daemon: u8,
    },
    /// The store carries a batch out or refuses it.
    LandBatch {
        /// Its sender.
        daemon: u8,
    },
    /// An owner hears what became of its batch.
    HearBatch {
        /// The owner.
        daemon: u8,
    },
    /// A worker carries a start out or refuses it.
    DeliverStart {
        /// Its sender.
        daemon: u8,
    },
    /// An owner hears the answer to a start.
    HearStart {
        /// The owner.
        daemon: u8,
    },
    /// An owner gives up waiting for the answer to a start.
    GiveUpStart {
        /// The owner.
        daemon: u8,
    },
    /// An owner sends a stop.
    SendStop {
        /// The owner.
        daemon: u8,
    },
    /// A worker carries a stop out or refuses it.
    DeliverStop {
        /// Its sender.
        daemon: u8,
    },
    /// An owner hears the answer to a stop.
    HearStop {
        /// The owner.
        daemon: u8,
    },
    /// An owner gives up waiting for the answer to a stop.
    GiveUpStop {
        /// The owner.
        daemon: u8,
    },
    /// An owner begins a look.
    SendLook {
        /// The owner.
        daemon: u8,
        /// The worker.
        worker: u8,
    },
    /// A worker answers a look.
    DeliverLook {
        /// Its sender.
        daemon: u8,
    },
    /// An owner hears the answer to a look.
    HearLook {
        /// The owner.
        daemon: u8,
    },
    /// An owner gives up waiting for the answer to a look.
    GiveUpLook {
        /// The owner.
        daemon: u8,
    },
    /// An owner takes a worker's lease for ended.
    TakeForLapsed {
        /// The owner.
        daemon: u8,
    },
    /// A worker carries out an order that was given up.
    DeliverLate {
        /// Its place among the late orders.
        place: u8,
    },
    /// A run is done.
    Finish {
        /// Its worker.
        worker: u8,
    },
}
