//! The plan of which member hands over which tokens.

use crate::tokens::MemberReport;
use crate::tokens::RunnerFacts;
use crate::tokens::runner_facts::region_of;
use crate::vms::VmTable;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::SortedTable;
use sapphirestile_slots::HandoverOrder;
use sapphirestile_slots::HandoverPlan;
use sapphirestile_slots::MemberDemand;
use sapphirestile_slots::RunnerSupply;
use sapphirestile_slots::ServiceDemand;
use sapphirestile_slots::TokenLedger;
use sapphirestile_wire::peer::TokenReport;

/// The plan of which member hands over which tokens, from the members' latest reports, the
/// list of VMs and the document. Daemons with the same inputs make the same plan.
#[derive(Clone, Copy, Debug)]
pub struct RebalancePlan<'a> {
    /// The ledger whose generation the reports are for; its runners are in the order of the
    /// reports' tokens.
    pub ledger: &'a TokenLedger,
    /// One report of each member that takes part, ordered by member.
    pub reports: &'a [MemberReport],
    /// The list of VMs, which gives the runners' services, zones and states.
    pub vms: &'a VmTable,
    /// The active configuration, which gives the regions of zones.
    pub document: &'a OperatorDocument,
}

impl<'a> RebalancePlan<'a> {
    /// Calls `carry_out` with each handover that `member` has to make, and its runner.
    pub fn for_each_order_of(
        &self,
        member: &DaemonIdentity,
        mut carry_out: impl FnMut(&RunnerName, &HandoverOrder<'_>),
    ) {
        let facts = self.runner_facts();
        let demands = self.demands(&facts);
        for (index, runner) in self.ledger.runners.keys().enumerate() {
            let Some(runner_facts) = facts.get(runner.as_str()) else {
                continue;
            };
            let Some(demand) = demands.get(runner_facts.service) else {
                continue;
            };
            let supply = self.supply(index, runner, runner_facts);
            let demands = demand.demands_at(&supply, |member| self.tokens(member, index));
            for order in HandoverPlan::new(&demands).orders_of(member) {
                carry_out(runner, order);
            }
        }
    }

    /// The facts of each listed runner by name.
    fn runner_facts(&self) -> SortedTable<&'a str, RunnerFacts<'a>> {
        let records = self.vms.records();
        records
            .filter_map(|record| {
                let facts = RunnerFacts::new(record, self.document)?;
                Some((record.name.as_str(), facts))
            })
            .collect()
    }

    fn demands(
        &self,
        facts: &SortedTable<&'a str, RunnerFacts<'a>>,
    ) -> SortedTable<&'a ServiceName, ServiceDemand<'a>> {
        let mut supplies: SortedTable<&ServiceName, Vec<RunnerSupply<'a>>> = SortedTable::new();
        for (index, runner) in self.ledger.runners.keys().enumerate() {
            if let Some(runner_facts) = facts.get(runner.as_str()) {
                let of_service = supplies.get_or_insert_with(runner_facts.service, Vec::new);
                of_service.push(self.supply(index, runner, runner_facts));
            }
        }
        supplies
            .iter()
            .map(|(service, supplies)| {
                let demand = ServiceDemand::new(self.members(service), supplies);
                (*service, demand)
            })
            .collect()
    }

    fn members(&self, service: &ServiceName) -> Vec<MemberDemand<'a>> {
        let reports = self.reports.iter();
        reports
            .map(|reported| MemberDemand {
                member: &reported.member,
                region: region_of(reported.report.zone.as_str(), self.document),
                weight: weight_of(&reported.report, service),
            })
            .collect()
    }

    /// The tokens of a runner that all reporting members hold together; 0 for a runner that
    /// takes no requests. `index` is the position of the runner in the ledger.
    fn supply(
        &self,
        index: usize,
        runner: &'a RunnerName,
        facts: &RunnerFacts<'a>,
    ) -> RunnerSupply<'a> {
        let members = 0..self.reports.len();
        let held = members.map(|member| self.tokens(member, index));
        let held = held.fold(0, u32::saturating_add);
        RunnerSupply {
            runner,
            region: facts.region,
            tokens: if facts.takes_work { held } else { 0 },
        }
    }

    /// The tokens that a member reported for a runner, both by position.
    fn tokens(&self, member: usize, index: usize) -> u32 {
        let tokens = &self.reports[member].report.tokens;
        tokens.get(index).copied().unwrap_or(0)
    }
}

/// The weight of a member's demand for a service; 1 when it reported none.
fn weight_of(report: &TokenReport, service: &ServiceName) -> u32 {
    let weights = &report.weights;
    let found = weights.binary_search_by(|(name, _)| name.cmp(service));
    found.map_or(1, |index| weights[index].1)
}
