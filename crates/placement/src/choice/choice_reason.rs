//! Why a worker was chosen.

/// Why a worker was chosen, to be shown to the user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChoiceReason {
    /// How many workers had room.
    pub with_room: usize,
    /// How many workers were looked at.
    pub looked_at: usize,
    /// The share of the worker given away with the task on it, in thousandths.
    pub load_permille: u64,
    /// How many tasks of the same job are in the worker's rack already.
    pub same_rack: u32,
    /// How many tasks of the same job are in the worker's zone already.
    pub same_zone: u32,
    /// How much the tasks there disturb, in thousandths.
    pub noise_permille: u64,
}

impl std::fmt::Display for ChoiceReason {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "best of {} workers with room among {}: {} permille given away, \
             {} tasks of the job in its rack and {} in its zone, disturbance {} permille",
            self.with_room,
            self.looked_at,
            self.load_permille,
            self.same_rack,
            self.same_zone,
            self.noise_permille
        )
    }
}
