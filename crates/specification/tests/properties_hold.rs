//! Every property holds at the small bounds. The minimum numbers of states guard against
//! a model that holds only because its steps became impossible.

use sapphirestile_specification::JobBounds;
use sapphirestile_specification::JobModel;
use sapphirestile_specification::OwnershipModel;
use sapphirestile_specification::OwnershipScenario;
use sapphirestile_specification::ProtocolModel;
use sapphirestile_specification::RecordModel;
use sapphirestile_specification::SearchVerdict;
use sapphirestile_specification::ShareModel;
use sapphirestile_specification::TokenModel;
use sapphirestile_specification::TransferModel;
use sapphirestile_specification::ZoneOutModel;
use sapphirestile_specification::explore_model;
use test_case::test_case;

fn assert_holds(model: &impl ProtocolModel, states_min: usize) {
    let report = explore_model(model);
    assert_eq!(report.verdict, SearchVerdict::Holds);
    assert!(
        report.states >= states_min,
        "visited {} states, expected at least {states_min}",
        report.states
    );
}

#[test_case("handover", 190_000)]
#[test_case("two-claims", 320_000)]
#[test_case("lost-answers", 600_000)]
#[test_case("kills", 280_000)]
#[test_case("snapshots", 250_000)]
#[test_case("lapses", 120_000)]
#[test_case("lost-workers", 220_000)]
#[test_case("worker-restarts", 280_000)]
fn cell_ownership_holds(name: &str, states_min: usize) {
    let mut scenarios = OwnershipScenario::SMALL.iter();
    let scenario = scenarios.find(|scenario| scenario.name == name).unwrap();
    let model = OwnershipModel {
        bounds: scenario.bounds,
        mutation: None,
    };
    assert_holds(&model, states_min);
}

#[test_case(JobBounds::CLAIM, 510_000)]
#[test_case(JobBounds::LATE_CLAIM, 570_000)]
#[test_case(JobBounds::LAPSE, 400_000)]
#[test_case(JobBounds::UNREACHED, 280_000)]
#[test_case(JobBounds::CHAIN, 62_000)]
#[test_case(JobBounds::RELAY, 110_000)]
#[test_case(JobBounds::LOSSY_RELAY, 130_000)]
#[test_case(JobBounds::CONNECTED_CHAIN, 342_000)]
#[test_case(JobBounds::RELISTED, 50_000)]
#[test_case(JobBounds::REPLACED, 285_000)]
#[test_case(JobBounds::REPLACED_CHAIN, 61_000)]
#[test_case(JobBounds::SUCCEEDED, 33_000)]
#[test_case(JobBounds::RESTARTED, 30_000)]
fn job_ownership_holds(bounds: JobBounds, states_min: usize) {
    let model = JobModel {
        bounds,
        mutation: None,
    };
    assert_holds(&model, states_min);
}

#[test]
fn zone_out_holds() {
    assert_holds(&ZoneOutModel::small(None), 14_000);
}

#[test]
fn token_handover_holds() {
    assert_holds(&TokenModel::small(None), 200_000);
}

#[test]
fn token_handover_with_new_incarnation_holds() {
    assert_holds(&TokenModel::incarnations(None), 50_000);
}

#[test]
fn request_record_holds() {
    assert_holds(&RecordModel::small(None), 15_000);
}

#[test]
fn share_lending_holds() {
    assert_holds(&ShareModel::small(None), 31_000);
}

#[test]
fn task_transfer_holds() {
    assert_holds(&TransferModel::small(None), 72_000);
}
