//! Each rule that is left out breaks a property, and the search finds it.

use sapphirestile_specification::JobBounds;
use sapphirestile_specification::JobModel;
use sapphirestile_specification::JobMutation;
use sapphirestile_specification::OwnershipModel;
use sapphirestile_specification::OwnershipMutation;
use sapphirestile_specification::OwnershipScenario;
use sapphirestile_specification::ProtocolModel;
use sapphirestile_specification::RecordModel;
use sapphirestile_specification::RecordMutation;
use sapphirestile_specification::ShareModel;
use sapphirestile_specification::ShareMutation;
use sapphirestile_specification::TokenModel;
use sapphirestile_specification::TokenMutation;
use sapphirestile_specification::ZoneOutModel;
use sapphirestile_specification::ZoneOutMutation;
use sapphirestile_specification::explore_model;
use test_case::test_case;

const START_COMMITTED: &str = "a start follows its commit";
const START_ONCE: &str = "each attempt starts once, in order";
const ONE_WORKER: &str = "a task runs on one worker at most";
const FINISHED_RESTS: &str = "a finished task never runs";
const FENCED: &str = "a former owner has no effect";
const START_STORED: &str = "a start follows its stored assignment";
const END_STORED: &str = "a noted end is stored";
const NOT_RUN: &str = "not run is true";
const ZONE_OUT: &str = "no start later than the permit age after the zone went out";
const SLOTS: &str = "requests at the runner fit its slots";
const ONCE: &str = "a request runs at most once";
const QUOTA: &str = "running tasks fit the quota";

fn broken_property(model: &impl ProtocolModel) -> Option<&'static str> {
    explore_model(model).verdict.broken_property()
}

#[test_case(OwnershipMutation::NoSequenceCheck, START_COMMITTED)]
#[test_case(OwnershipMutation::DeletedNumberFree, START_COMMITTED)]
#[test_case(OwnershipMutation::NoEpochCheck, FENCED)]
#[test_case(OwnershipMutation::OldPermitsGood, START_ONCE)]
#[test_case(OwnershipMutation::NoSessionFirst, ONE_WORKER)]
#[test_case(OwnershipMutation::TimeoutAsProof, START_ONCE)]
#[test_case(OwnershipMutation::OldReportAsProof, START_ONCE)]
#[test_case(OwnershipMutation::LostAnswerNotWritten, NOT_RUN)]
#[test_case(OwnershipMutation::LostAnswerWritten, START_COMMITTED)]
#[test_case(OwnershipMutation::AbsentReadAsProof, NOT_RUN)]
#[test_case(OwnershipMutation::StartBeforeCommit, START_COMMITTED)]
#[test_case(OwnershipMutation::OldFinishAccepted, FINISHED_RESTS)]
fn a_cell_needs_the_rule(mutation: OwnershipMutation, property: &str) {
    let model = OwnershipModel {
        bounds: OwnershipScenario::breaking(mutation),
        mutation: Some(mutation),
    };
    assert_eq!(broken_property(&model), Some(property));
}

#[test_case(OwnershipMutation::NoSequenceCheck)]
#[test_case(OwnershipMutation::DeletedNumberFree)]
#[test_case(OwnershipMutation::OldFinishAccepted)]
fn the_rule_alone_makes_the_difference(mutation: OwnershipMutation) {
    let model = OwnershipModel {
        bounds: OwnershipScenario::breaking(mutation),
        mutation: None,
    };
    assert_eq!(broken_property(&model), None);
}

#[test_case(JobMutation::StartBeforeStored, START_STORED)]
#[test_case(JobMutation::NoEpochCheck, ONE_WORKER)]
#[test_case(JobMutation::SilenceAsProof, ONE_WORKER)]
#[test_case(JobMutation::EarlierLookAsProof, ONE_WORKER)]
#[test_case(JobMutation::NoStopBeforeLook, ONE_WORKER)]
#[test_case(JobMutation::NoLapseWait, ONE_WORKER)]
#[test_case(JobMutation::NoInheritedWait, ONE_WORKER)]
#[test_case(JobMutation::AuthorityFromAnswer, ONE_WORKER)]
#[test_case(JobMutation::ClockStandsStill, ONE_WORKER)]
#[test_case(JobMutation::NotedBeforeStored, END_STORED)]
#[test_case(JobMutation::EarlierEndIgnored, END_STORED)]
#[test_case(JobMutation::NoHeadGuard, END_STORED)]
fn an_owner_of_jobs_needs_the_rule(mutation: JobMutation, property: &str) {
    let model = JobModel {
        bounds: JobBounds::breaking(mutation),
        mutation: Some(mutation),
    };
    assert_eq!(broken_property(&model), Some(property));
}

#[test_case(ZoneOutMutation::NoRevisionCheck)]
#[test_case(ZoneOutMutation::PermitAfterCommit)]
#[test_case(ZoneOutMutation::NoAgeCheck)]
fn a_zone_needs_the_rule(mutation: ZoneOutMutation) {
    let model = ZoneOutModel::small(Some(mutation));
    assert_eq!(broken_property(&model), Some(ZONE_OUT));
}

#[test_case(TokenMutation::TimeoutAsProof, SLOTS)]
#[test_case(TokenMutation::ReceiverAdds, SLOTS)]
#[test_case(TokenMutation::NoClosing, SLOTS)]
#[test_case(TokenMutation::NoWait, SLOTS)]
#[test_case(TokenMutation::CountAfterSending, SLOTS)]
#[test_case(TokenMutation::CountsDropped, SLOTS)]
#[test_case(TokenMutation::RemovedOneByOne, "heals")]
fn tokens_need_the_rule(mutation: TokenMutation, property: &str) {
    let model = TokenModel::small(Some(mutation));
    assert_eq!(broken_property(&model), Some(property));
}

#[test_case(RecordMutation::SendBeforeRecord, ONCE)]
#[test_case(RecordMutation::UnknownRetried, ONCE)]
#[test_case(RecordMutation::RecordsForgotten, NOT_RUN)]
#[test_case(RecordMutation::NotRunWithoutRecord, NOT_RUN)]
#[test_case(RecordMutation::GrantToAll, NOT_RUN)]
fn a_record_needs_the_rule(mutation: RecordMutation, property: &str) {
    let model = RecordModel::small(Some(mutation));
    assert_eq!(broken_property(&model), Some(property));
}

#[test_case(ShareMutation::LentBeforeCommit, QUOTA)]
#[test_case(ShareMutation::ReturnedBeforeCommit, QUOTA)]
#[test_case(ShareMutation::BorrowerAdds, QUOTA)]
#[test_case(ShareMutation::OwnUseLent, QUOTA)]
#[test_case(ShareMutation::UsedReturned, QUOTA)]
#[test_case(ShareMutation::ToldByItsOwnerOnly, "heals")]
fn shares_need_the_rule(mutation: ShareMutation, property: &str) {
    let model = ShareModel::small(Some(mutation));
    assert_eq!(broken_property(&model), Some(property));
}
