//! Every property holds at the small bounds, and the searches are not vacuous.

use sapphirestile_specification::JobBounds;
use sapphirestile_specification::JobModel;
use sapphirestile_specification::OwnershipModel;
use sapphirestile_specification::OwnershipScenario;
use sapphirestile_specification::ProtocolModel;
use sapphirestile_specification::RecordModel;
use sapphirestile_specification::SearchVerdict;
use sapphirestile_specification::ShareModel;
use sapphirestile_specification::TokenModel;
use sapphirestile_specification::ZoneOutModel;
use sapphirestile_specification::explore_model;
use test_case::test_case;

fn assert_holds(model: &impl ProtocolModel, states_floor: usize) {
    let report = explore_model(model);
    assert_eq!(report.verdict, SearchVerdict::Holds);
    assert!(
        report.states >= states_floor,
        "only {} states were searched",
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
fn a_cell_keeps_every_property(name: &str, states_floor: usize) {
    let mut scenarios = OwnershipScenario::SMALL.iter();
    let scenario = scenarios.find(|scenario| scenario.name == name).unwrap();
    let model = OwnershipModel {
        bounds: scenario.bounds,
        mutation: None,
    };
    assert_holds(&model, states_floor);
}

#[test_case(JobBounds::CLAIM, 230_000)]
#[test_case(JobBounds::LATE_CLAIM, 310_000)]
#[test_case(JobBounds::LAPSE, 310_000)]
#[test_case(JobBounds::UNREACHED, 290_000)]
fn an_owner_of_jobs_keeps_every_property(bounds: JobBounds, states_floor: usize) {
    let model = JobModel {
        bounds,
        mutation: None,
    };
    assert_holds(&model, states_floor);
}

#[test]
fn no_start_lands_long_after_the_zone_went_out() {
    assert_holds(&ZoneOutModel::small(None), 14_000);
}

#[test]
fn tokens_of_dead_members_come_back_and_fit_the_slots() {
    assert_holds(&TokenModel::small(None), 200_000);
}

#[test]
fn tokens_outlive_a_change_of_incarnation() {
    assert_holds(&TokenModel::incarnations(None), 50_000);
}

#[test]
fn a_request_runs_at_most_once() {
    assert_holds(&RecordModel::small(None), 15_000);
}

#[test]
fn shares_return_and_fit_the_quota() {
    assert_holds(&ShareModel::small(None), 31_000);
}
