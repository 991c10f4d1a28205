//! What happened in the rounds.

/// Faults brought about and work done in the rounds, by kind.
#[derive(Debug, Default)]
pub struct EventCounts {
    pub lost: u32,
    pub repeated: u32,
    pub killed: u32,
    pub joined: u32,
    pub frozen: u32,
    pub cut: u32,
    pub store_out: u32,
    pub answers_lost: u32,
    pub reclaims: u32,
    pub joint_reclaims: u32,
    pub tokens_moved: u32,
    pub tokens_retired: u32,
    pub embargoes_lifted: u32,
    pub runners_reborn: u32,
    pub handed_on_stop: u32,
}

impl EventCounts {
    pub fn add(&mut self, other: &Self) {
        for (sum, count) in self.fields().into_iter().zip(other.values()) {
            *sum += count;
        }
    }

    pub fn values(&self) -> [u32; 15] {
        [
            self.lost,
            self.repeated,
            self.killed,
            self.joined,
            self.frozen,
            self.cut,
            self.store_out,
            self.answers_lost,
            self.reclaims,
            self.joint_reclaims,
            self.tokens_moved,
            self.tokens_retired,
            self.embargoes_lifted,
            self.runners_reborn,
            self.handed_on_stop,
        ]
    }

    fn fields(&mut self) -> [&mut u32; 15] {
        [
            &mut self.lost,
            &mut self.repeated,
            &mut self.killed,
            &mut self.joined,
            &mut self.frozen,
            &mut self.cut,
            &mut self.store_out,
            &mut self.answers_lost,
            &mut self.reclaims,
            &mut self.joint_reclaims,
            &mut self.tokens_moved,
            &mut self.tokens_retired,
            &mut self.embargoes_lifted,
            &mut self.runners_reborn,
            &mut self.handed_on_stop,
        ]
    }
}
