//! Tokens of runners.

use sapphirestile_core::RegionName;
use sapphirestile_slots::HandoverPlan;
use sapphirestile_slots::MemberDemand;
use sapphirestile_slots::RunnerSupply;
use sapphirestile_slots::ServiceDemand;

use crate::ResultTable;
use crate::report::TimeSample;
use crate::report::nanos_of;
use crate::scenes::FreeTokens;
use crate::scenes::TokenScene;

/// What the demand of each of seven members is at a runner; their tokens are
/// even, so that a plan has to move some.
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
        let scene = TokenScene::build(runners);
        let ledger = TimeSample::gather(rounds, || nanos_of(1, || scene.holder(0)));
        let plan = TimeSample::gather(rounds, || nanos_of(1, || plan_all(&scene)));
        let hand = TimeSample::gather(rounds, || nanos_of(1, || scene.handover()));
        let message = scene.handover();
        let mut giver = scene.holder(0);
        let peer = &scene.members[1];
        for runner in scene.ledger.runners.keys() {
            giver.hand_over(peer, runner, 1, &FreeTokens);
        }
        let tell = TimeSample::gather(rounds, || {
            nanos_of(1, || giver.message_to(peer, None, usize::MAX))
        });
        let receive = TimeSample::gather(rounds, || {
            let mut taker = scene.holder(1);
            nanos_of(1, || taker.receive(&message, &FreeTokens))
        });
        let now = sapphirestile_core::MonoTime::default();
        let lift = TimeSample::gather(rounds, || {
            nanos_of(1, || giver.publish_due_tokens(now, &FreeTokens))
        });
        table.add(&[&runners, &ledger, &plan, &hand, &tell, &receive, &lift]);
    }
    table
}

/// As the token actor does four times a second; how many orders came out.
fn plan_all(scene: &TokenScene) -> usize {
    let regions = REGIONS.map(|name| RegionName::try_from(name).expect("a valid name"));
    let supplies: Vec<RunnerSupply<'_>> = scene
        .ledger
        .runners
        .keys()
        .enumerate()
        .map(|(place, runner)| RunnerSupply {
            runner,
            region: Some(&regions[place % regions.len()]),
            tokens: DEMANDS.iter().map(|(tokens, _)| tokens).sum(),
        })
        .collect();
    let members = scene.members.iter().zip(DEMANDS).enumerate();
    let members = members.map(|(place, (member, (_, weight)))| MemberDemand {
        member,
        region: Some(&regions[place % regions.len()]),
        weight,
    });
    let demand = ServiceDemand::new(members.collect(), &supplies);
    let mut orders = 0;
    for supply in &supplies {
        let plan = HandoverPlan::new(&demand.demands_at(supply, |place| DEMANDS[place].0));
        orders += plan.orders_of(&scene.members[0]).count();
    }
    orders
}
