//! Which tokens this daemon hands over.

use crate::tokens::MemberReport;
use crate::tokens::RunnerPlace;
use crate::tokens::runner_place::region_of;
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

/// What the members last said of themselves, with the platform as this daemon sees
/// it. Two daemons that see the same make the same plan.
#[derive(Clone, Copy, Debug)]
pub struct TradePlan<'a> {
    /// The ledger that the reports go by.
    pub ledger: &'a TokenLedger,
    /// One report of each member, in the order of members.
    pub reports: &'a [MemberReport],
    /// The list of VMs.
    pub vms: &'a VmTable,
    /// The configuration in force.
    pub document: &'a OperatorDocument,
}

impl<'a> TradePlan<'a> {
    /// Gives `take` each hand-over that `member` carries out, with its runner.
    pub fn each_order_of(
        &self,
        member: &DaemonIdentity,
        mut take: impl FnMut(&RunnerName, &HandoverOrder<'_>),
    ) {
        let places = self.places();
        let demands = self.demands(&places);
        for (index, runner) in self.ledger.runners.keys().enumerate() {
            let Some(place) = places.get(runner.as_str()) else {
                continue;
            };
            let Some(demand) = demands.get(place.service) else {
                continue;
            };
            let supply = self.supply(index, runner, place);
            let demands = demand.demands_at(&supply, |place| self.tokens(place, index));
            for order in HandoverPlan::new(&demands).orders_of(member) {
                take(runner, order);
            }
        }
    }

    fn places(&self) -> SortedTable<&'a str, RunnerPlace<'a>> {
        let records = self.vms.records();
        records
            .filter_map(|record| {
                let place = RunnerPlace::new(record, self.document)?;
                Some((record.name.as_str(), place))
            })
            .collect()
    }

    fn demands(
        &self,
        places: &SortedTable<&'a str, RunnerPlace<'a>>,
    ) -> SortedTable<&'a ServiceName, ServiceDemand<'a>> {
        let mut supplies: SortedTable<&ServiceName, Vec<RunnerSupply<'a>>> = SortedTable::new();
        for (index, runner) in self.ledger.runners.keys().enumerate() {
            if let Some(place) = places.get(runner.as_str()) {
                let known = supplies.get_or_insert_with(place.service, Vec::new);
                known.push(self.supply(index, runner, place));
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
            .map(|known| MemberDemand {
                member: &known.member,
                region: region_of(known.report.zone.as_str(), self.document),
                weight: weight_of(&known.report, service),
            })
            .collect()
    }

    /// What a runner offers; one that takes no requests meets no demand.
    fn supply(
        &self,
        index: usize,
        runner: &'a RunnerName,
        place: &RunnerPlace<'a>,
    ) -> RunnerSupply<'a> {
        let members = 0..self.reports.len();
        let held = members.map(|member| self.tokens(member, index));
        let held = held.fold(0, u32::saturating_add);
        RunnerSupply {
            runner,
            region: place.region,
            tokens: if place.takes_work { held } else { 0 },
        }
    }

    fn tokens(&self, place: usize, index: usize) -> u32 {
        let tokens = &self.reports[place].report.tokens;
        tokens.get(index).copied().unwrap_or(0)
    }
}

fn weight_of(report: &TokenReport, service: &ServiceName) -> u32 {
    let weights = &report.weights;
    let found = weights.binary_search_by(|(name, _)| name.cmp(service));
    found.map_or(1, |place| weights[place].1)
}
