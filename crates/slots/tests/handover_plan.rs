//! Tests of handover plans and demand measurement.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_slots::DemandMeter;
use sapphirestile_slots::HandoverPlan;
use sapphirestile_slots::TokenDemand;
use test_case::test_case;

fn identity(name: &str) -> DaemonIdentity {
    DaemonIdentity {
        daemon: DaemonName::try_from(name).unwrap(),
        incarnation: IncarnationNumber::new(1),
    }
}

#[test_case(&[(4, 1_000), (4, 1_000)], 0; "equal demand moves nothing")]
#[test_case(&[(4, 1_000), (4, 1_600)], 0; "a small difference moves nothing")]
#[test_case(&[(4, 1_000), (4, 7_000)], 2; "a busy member gets tokens")]
#[test_case(&[(2, 50), (2, 50), (2, 50), (2, 50), (0, 50)], 1; "a new member gets one")]
#[test_case(&[(1, 50), (1, 50), (0, 9_000)], 2; "fewer tokens than members follow demand")]
#[test_case(&[(8, 50), (0, 9_000)], 7; "all but one go to the only busy member")]
fn tokens_move_according_to_demand(members: &[(u32, u32)], moved: u32) {
    let names = (0..members.len()).map(|index| identity(&format!("vm-{index}")));
    let names = names.collect::<Vec<_>>();
    let demand = |(index, (tokens, weight)): (usize, &(u32, u32))| TokenDemand {
        member: &names[index],
        tokens: *tokens,
        weight: *weight,
        floor: 1,
    };
    let demands = members.iter().enumerate().map(demand).collect::<Vec<_>>();
    let plan = HandoverPlan::new(&demands);
    let count = plan.orders().iter().map(|order| order.count).sum::<u32>();
    assert_eq!(count, moved);
}

#[test]
fn measured_demand_rises_quickly_and_falls_slowly() {
    let mut meter = DemandMeter::default();
    (0..4).for_each(|_| meter.observe(8, 0));
    let high = meter.weight();
    assert!((7_000..=8_000).contains(&high), "{high}");
    (0..4).for_each(|_| meter.observe(0, 0));
    let low = meter.weight();
    assert!((5_000..7_000).contains(&low), "{low}");
}

/// High demand moves from member to member. Tokens must follow it, and then stay in
/// place despite small fluctuations.
#[test]
fn tokens_follow_a_demand_peak_without_flapping() {
    const SLOTS: u32 = 8;
    let names = (0..5).map(|index| identity(&format!("vm-{index}")));
    let names = names.collect::<Vec<_>>();
    let mut tokens = [2, 2, 2, 1, 1];
    let mut meters = [DemandMeter::default(); 5];
    let mut late_moves = 0;
    for busy in 0..5 {
        for round in 0..40 {
            for (index, meter) in meters.iter_mut().enumerate() {
                // Fluctuations of one request stay below the hysteresis.
                let noise = u32::from((index + round) % 3 == 0);
                let wanted = if index == busy { 12 } else { 1 };
                meter.observe(wanted + noise, 0);
            }
            let demands = (0..5).map(|index| TokenDemand {
                member: &names[index],
                tokens: tokens[index],
                weight: meters[index].weight(),
                floor: 1,
            });
            let plan = HandoverPlan::new(&demands.collect::<Vec<_>>());
            for order in plan.orders() {
                let index = |member| names.iter().position(|name| name == member).unwrap();
                tokens[index(order.from)] -= order.count;
                tokens[index(order.to)] += order.count;
                late_moves += if round >= 30 { order.count } else { 0 };
            }
        }
        assert!(tokens[busy] >= 3, "busy member {busy}: {tokens:?}");
        assert!(tokens.iter().all(|count| *count > 0), "{tokens:?}");
        assert_eq!(tokens.iter().sum::<u32>(), SLOTS);
    }
    assert_eq!(late_moves, 0);
}
