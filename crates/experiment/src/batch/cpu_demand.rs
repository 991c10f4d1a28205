//! Distribution of a worker's CPU among its tasks.

/// The CPU that a task could use and the CPU that was allocated to it, in
/// thousandths of a core.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CpuDemand {
    pub(crate) wanted_milli: f64,
    pub(crate) allocated_milli: f64,
}

impl CpuDemand {
    /// Returns the CPU that each task gets when they share `capacity_milli`.
    ///
    /// Each task gets what it could use up to its allocation, scaled down if all
    /// together exceed the capacity. The rest of the capacity is distributed in
    /// proportion to the demand beyond the allocations.
    pub(crate) fn distribute(demands: &[Self], capacity_milli: f64) -> Vec<f64> {
        let wanted_total = demands
            .iter()
            .map(|demand| demand.wanted_milli)
            .sum::<f64>();
        if wanted_total <= capacity_milli {
            return demands.iter().map(|demand| demand.wanted_milli).collect();
        }
        let guaranteed = |demand: &Self| demand.wanted_milli.min(demand.allocated_milli);
        let guaranteed_total = demands.iter().map(guaranteed).sum::<f64>();
        if guaranteed_total >= capacity_milli {
            let ratio = capacity_milli / guaranteed_total;
            return demands
                .iter()
                .map(|demand| guaranteed(demand) * ratio)
                .collect();
        }
        let ratio = (capacity_milli - guaranteed_total) / (wanted_total - guaranteed_total);
        let granted =
            |demand: &Self| guaranteed(demand) + (demand.wanted_milli - guaranteed(demand)) * ratio;
        demands.iter().map(granted).collect()
    }
}
