//! Why a worker was chosen.

/// The figures behind the choice of a worker; its `Display` text is shown to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChoiceReason {
    /// The number of workers that met all limits.
    pub eligible: usize,
    /// The number of workers examined.
    pub examined: usize,
    /// The allocated share of the worker including the new task, in thousandths:
    /// the larger of the shares of CPU time and memory.
    pub load_permille: u64,
    /// The number of other tasks of the same job in the worker's rack.
    pub same_rack: u32,
    /// The number of other tasks of the same job in the worker's zone.
    pub same_zone: u32,
    /// The interference of the tasks already on the worker, in thousandths.
    pub interference_permille: u64,
}

impl std::fmt::Display for ChoiceReason {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "lowest cost of {} eligible workers out of {}: {} permille allocated, \
             {} tasks of the job in its rack and {} in its zone, interference {} permille",
            self.eligible,
            self.examined,
            self.load_permille,
            self.same_rack,
            self.same_zone,
            self.interference_permille
        )
    }
}
