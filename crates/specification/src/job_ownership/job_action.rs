//! Steps of the job protocol.

/// A step of a daemon, a worker, the store, the network or the clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAction {
    /// One tick passes.
    Tick,
    /// One tick passes while a daemon is suspended and its clock stands still. Only with
    /// [`JobMutation::ClockStandsStill`](crate::JobMutation::ClockStandsStill).
    Suspend {
        /// Number of the daemon.
        daemon: u8,
    },
    /// A daemon ends without a trace. Only if owners do not overlap.
    EndDaemon {
        /// Number of the daemon.
        daemon: u8,
    },
    /// A daemon that is not the owner reads the head row.
    ReadHead {
        /// Number of the daemon.
        daemon: u8,
    },
    /// A daemon claims the head row as it was read last, and reads the stored assignment. If the
    /// row was written since, the daemon reads it first, in the same step.
    Claim {
        /// Number of the daemon.
        daemon: u8,
    },
    /// The owner assigns the task to a worker.
    AssignRun {
        /// Number of the owner.
        daemon: u8,
        /// Number of the worker.
        worker: u8,
    },
    /// The owner sends a batch to the store.
    SendBatch {
        /// Number of the owner.
        daemon: u8,
    },
    /// The store applies a batch or rejects it.
    ProcessBatch {
        /// Number of the sender.
        daemon: u8,
    },
    /// The owner receives the result of its batch.
    ReceiveBatchResult {
        /// Number of the owner.
        daemon: u8,
    },
    /// A worker receives a start order, and accepts or refuses it.
    DeliverStart {
        /// Number of the sender.
        daemon: u8,
    },
    /// The owner receives the outcome of a start order.
    ReceiveStartOutcome {
        /// Number of the owner.
        daemon: u8,
    },
    /// The owner gives up waiting for the outcome of a start order.
    GiveUpStart {
        /// Number of the owner.
        daemon: u8,
    },
    /// The owner sends a stop order.
    SendStop {
        /// Number of the owner.
        daemon: u8,
    },
    /// A worker receives a stop order, and accepts or refuses it.
    DeliverStop {
        /// Number of the sender.
        daemon: u8,
    },
    /// The owner receives the outcome of a stop order.
    ReceiveStopOutcome {
        /// Number of the owner.
        daemon: u8,
    },
    /// The owner gives up waiting for the outcome of a stop order.
    GiveUpStop {
        /// Number of the owner.
        daemon: u8,
    },
    /// The owner sends a poll.
    SendPoll {
        /// Number of the owner.
        daemon: u8,
        /// Number of the worker.
        worker: u8,
    },
    /// A worker receives a poll and responds to it.
    DeliverPoll {
        /// Number of the sender.
        daemon: u8,
    },
    /// The owner receives the response to a poll.
    ReceivePollResponse {
        /// Number of the owner.
        daemon: u8,
    },
    /// The owner gives up waiting for the response to a poll.
    GiveUpPoll {
        /// Number of the owner.
        daemon: u8,
    },
    /// The owner concludes that the lease of a worker's runs has expired.
    AssumeLeaseExpired {
        /// Number of the owner.
        daemon: u8,
    },
    /// A worker receives an order whose sender has given up waiting.
    DeliverLateOrder {
        /// Position in the sorted set of late orders.
        index: u8,
    },
    /// The process at the address of a worker dies with its run, and another one takes the
    /// address.
    ReplaceProcess {
        /// Number of the worker.
        worker: u8,
    },
    /// A run completes its task.
    FinishRun {
        /// Number of the run's worker.
        worker: u8,
    },
}
