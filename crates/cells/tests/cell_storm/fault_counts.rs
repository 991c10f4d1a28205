//! Counts of faults and results of a run.

/// How often each kind of fault occurred in a run, and the run's results.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultCounts {
    pub kills: u32,
    pub freezes: u32,
    pub outages: u32,
    pub lost_answers: u32,
    pub late_commits: u32,
    pub lost_messages: u32,
    pub repeated_messages: u32,
    pub late_messages: u32,
    /// Times a worker became unreachable for some or all daemons.
    pub cuts: u32,
    pub lost_workers: u32,
    pub worker_restarts: u32,
    pub zone_changes: u32,
    pub both_zones_out: u32,
    pub rival_claims: u32,
    pub cancellations: u32,
    pub claims: u32,
    pub commits: u32,
    pub starts: u32,
    pub stops: u32,
    /// Attempts stopped because their lease expired.
    pub lapses: u32,
    pub finished: u32,
}

impl FaultCounts {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.kills += other.kills;
        self.freezes += other.freezes;
        self.outages += other.outages;
        self.lost_answers += other.lost_answers;
        self.late_commits += other.late_commits;
        self.lost_messages += other.lost_messages;
        self.repeated_messages += other.repeated_messages;
        self.late_messages += other.late_messages;
        self.cuts += other.cuts;
        self.lost_workers += other.lost_workers;
        self.worker_restarts += other.worker_restarts;
        self.zone_changes += other.zone_changes;
        self.both_zones_out += other.both_zones_out;
        self.rival_claims += other.rival_claims;
        self.cancellations += other.cancellations;
        self.claims += other.claims;
        self.commits += other.commits;
        self.starts += other.starts;
        self.stops += other.stops;
        self.lapses += other.lapses;
        self.finished += other.finished;
    }

    /// Whether each kind of fault occurred.
    pub fn has_every_kind(&self) -> bool {
        let kinds = [
            self.kills,
            self.freezes,
            self.outages,
            self.lost_answers,
            self.late_commits,
            self.lost_messages,
            self.repeated_messages,
            self.late_messages,
            self.cuts,
            self.lost_workers,
            self.worker_restarts,
            self.zone_changes,
            self.both_zones_out,
            self.rival_claims,
            self.cancellations,
        ];
        kinds.iter().all(|count| *count > 0)
    }
}
