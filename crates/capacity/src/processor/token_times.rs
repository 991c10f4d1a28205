//! Processor time of planning and handing over runner tokens.

use sapphirestile_core::RegionName;
use sapphirestile_slots::HandoverPlan;
use sapphirestile_slots::MemberDemand;
use sapphirestile_slots::RunnerSupply;
use sapphirestile_slots::ServiceDemand;

use crate::ResultTable;
use crate::fixtures::IdleGauges;
use crate::fixtures::TokenFixture;
use crate::report::TimingSummary;
use crate::report::nanos_per_unit;

/// Tokens held at each runner, and demand weight, of each of seven members. The tokens are
/// spread almost evenly although the weights differ, so that a plan has to move some.
const DEMANDS: [(u32, u32); 7] = [
    (2, 0),
    (1, 1_000),
    (1, 1_000),
    (1, 4_000),
    (1, 1_000),
    (1, 1_000),
    (1, 1_000),
];

const REGIONS: [&str; 2] = ["coast", "inland"];

/// Measures the token ledger, plans and handover messages by the number of runners.
pub fn token_times(rounds: usize) -> ResultTable {
    let mut table = ResultTable::new(
        "Keeper of tokens, seven members, us: median (least to most)",
        &[
            "runners",
            "take the ledger",
            "plan all runners",
            "hand over one of each",
            "message to a peer",
            "receive it",
            "lift embargoes",
        ],
    );
    for runners in [48, 500, 2_000, 4_625] {
        let fixture = TokenFixture::build(runners);
        let ledger = TimingSummary::measure(rounds, || nanos_per_unit(1, || fixture.holder(0)));
        let plan =
            TimingSummary::measure(rounds, || nanos_per_unit(1, || plan_all_runners(&fixture)));
        let hand_over_all =
            TimingSummary::measure(rounds, || nanos_per_unit(1, || fixture.handover()));
        let handover = fixture.handover();
        let mut sender = fixture.holder(0);
        let peer = &fixture.members[1];
        for runner in fixture.ledger.runners.keys() {
            sender.hand_over(peer, runner, 1, &IdleGauges);
        }
        let encode = TimingSummary::measure(rounds, || {
            nanos_per_unit(1, || sender.message_to(peer, None, usize::MAX))
        });
        let receive = TimingSummary::measure(rounds, || {
            let mut receiver = fixture.holder(1);
            nanos_per_unit(1, || receiver.receive(&handover, &IdleGauges))
        });
        let now = sapphirestile_core::MonoTime::default();
        let publish = TimingSummary::measure(rounds, || {
            nanos_per_unit(1, || sender.publish_due_tokens(now, &IdleGauges))
        });
        table.add(&[
            &runners,
            &ledger,
            &plan,
            &hand_over_all,
            &encode,
            &receive,
            &publish,
        ]);
    }
    table
}

/// Plans all runners, as the token actor does four times a second, and returns the number
/// of handover orders of the first member.
fn plan_all_runners(fixture: &TokenFixture) -> usize {
    let regions = REGIONS.map(|name| RegionName::try_from(name).expect("the name is valid"));
    let supplies: Vec<RunnerSupply<'_>> = fixture
        .ledger
        .runners
        .keys()
        .enumerate()
        .map(|(index, runner)| RunnerSupply {
            runner,
            region: Some(&regions[index % regions.len()]),
            tokens: DEMANDS.iter().map(|(tokens, _)| tokens).sum(),
        })
        .collect();
    let members = fixture.members.iter().zip(DEMANDS).enumerate();
    let members = members.map(|(index, (member, (_, weight)))| MemberDemand {
        member,
        region: Some(&regions[index % regions.len()]),
        weight,
    });
    let demand = ServiceDemand::new(members.collect(), &supplies);
    let mut orders = 0;
    for supply in &supplies {
        let plan = HandoverPlan::new(&demand.demands_at(supply, |index| DEMANDS[index].0));
        orders += plan.orders_of(&fixture.members[0]).count();
    }
    orders
}
