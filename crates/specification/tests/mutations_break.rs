//! Each mutation breaks the expected property, and the search finds it. A search that
//! missed one would also miss the same fault in the protocol.

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
use sapphirestile_specification::TransferModel;
use sapphirestile_specification::TransferMutation;
use sapphirestile_specification::ZoneOutModel;
use sapphirestile_specification::ZoneOutMutation;
use sapphirestile_specification::explore_model;
use test_case::test_case;

const START_AFTER_COMMIT: &str = "a start follows its commit";
const ATTEMPT_STARTS_ONCE: &str = "each attempt starts once, in order";
const ONE_WORKER: &str = "a task runs on one worker at most";
const NO_RUN_AFTER_FINISH: &str = "a finished task never runs";
const OWNER_FENCED: &str = "a former owner has no effect";
const START_AFTER_STORED: &str = "a start follows its stored assignment";
const END_STORED_FIRST: &str = "an acknowledged end is stored";
const NOT_RUN_CORRECT: &str = "a not-run report is correct";
const NO_LATE_START: &str = "no start later than the permit age after the zone went out";
const WITHIN_SLOTS: &str = "requests at the runner fit its slots";
const AT_MOST_ONCE: &str = "a request runs at most once";
const IN_ONE_CELL: &str = "a task is in one cell";
const RUNS_IN_ONE_CELL: &str = "a task runs in one cell at most";
const WITHIN_QUOTA: &str = "running tasks fit the quota";

fn broken_property(model: &impl ProtocolModel) -> Option<&'static str> {
    explore_model(model).verdict.broken_property()
}

#[test_case(OwnershipMutation::NoSequenceCheck, START_AFTER_COMMIT)]
#[test_case(OwnershipMutation::DeletedNumberFree, START_AFTER_COMMIT)]
#[test_case(OwnershipMutation::NoEpochCheck, OWNER_FENCED)]
#[test_case(OwnershipMutation::OldPermitsGood, ATTEMPT_STARTS_ONCE)]
#[test_case(OwnershipMutation::NoSessionFirst, ONE_WORKER)]
#[test_case(OwnershipMutation::TimeoutAsProof, ATTEMPT_STARTS_ONCE)]
#[test_case(OwnershipMutation::OldReportAsProof, ATTEMPT_STARTS_ONCE)]
#[test_case(OwnershipMutation::LostAnswerNotWritten, NOT_RUN_CORRECT)]
#[test_case(OwnershipMutation::LostAnswerWritten, START_AFTER_COMMIT)]
#[test_case(OwnershipMutation::AbsentReadAsProof, NOT_RUN_CORRECT)]
#[test_case(OwnershipMutation::StartBeforeCommit, START_AFTER_COMMIT)]
#[test_case(OwnershipMutation::OldFinishAccepted, NO_RUN_AFTER_FINISH)]
fn cell_mutation_breaks_property(mutation: OwnershipMutation, property: &str) {
    let model = OwnershipModel {
        bounds: OwnershipScenario::breaking(mutation),
        mutation: Some(mutation),
    };
    assert_eq!(broken_property(&model), Some(property));
}

#[test_case(OwnershipMutation::NoSequenceCheck)]
#[test_case(OwnershipMutation::DeletedNumberFree)]
#[test_case(OwnershipMutation::OldFinishAccepted)]
fn same_bounds_hold_without_mutation(mutation: OwnershipMutation) {
    let model = OwnershipModel {
        bounds: OwnershipScenario::breaking(mutation),
        mutation: None,
    };
    assert_eq!(broken_property(&model), None);
}

#[test_case(JobMutation::StartBeforeStored, START_AFTER_STORED)]
#[test_case(JobMutation::NoEpochCheck, ONE_WORKER)]
#[test_case(JobMutation::SilenceAsProof, ONE_WORKER)]
#[test_case(JobMutation::EarlierLookAsProof, ONE_WORKER)]
#[test_case(JobMutation::NoStopBeforeLook, ONE_WORKER)]
#[test_case(JobMutation::NoLapseWait, ONE_WORKER)]
#[test_case(JobMutation::NoInheritedWait, ONE_WORKER)]
#[test_case(JobMutation::ShortInheritedWait, ONE_WORKER)]
#[test_case(JobMutation::BoundFromEarlierRead, ONE_WORKER)]
#[test_case(JobMutation::GrantToListed, ONE_WORKER)]
#[test_case(JobMutation::GrantWhileListing, ONE_WORKER)]
#[test_case(JobMutation::GrantBeforeUnlisted, ONE_WORKER)]
#[test_case(JobMutation::GrantBeforeFirstBatch, ONE_WORKER)]
#[test_case(JobMutation::OtherIncarnationIgnored, "heals")]
#[test_case(JobMutation::OtherIncarnationEndsStart, ONE_WORKER)]
#[test_case(JobMutation::NoInheritedLease, ONE_WORKER)]
#[test_case(JobMutation::StartOnAnyConnection, ONE_WORKER)]
#[test_case(JobMutation::AuthorityFromAnswer, ONE_WORKER)]
#[test_case(JobMutation::ClockStandsStill, ONE_WORKER)]
#[test_case(JobMutation::NotedBeforeStored, END_STORED_FIRST)]
#[test_case(JobMutation::EarlierEndIgnored, END_STORED_FIRST)]
#[test_case(JobMutation::NoHeadGuard, END_STORED_FIRST)]
fn job_mutation_breaks_property(mutation: JobMutation, property: &str) {
    let model = JobModel {
        bounds: JobBounds::breaking(mutation),
        mutation: Some(mutation),
    };
    assert_eq!(broken_property(&model), Some(property));
}

#[test_case(ZoneOutMutation::NoRevisionCheck)]
#[test_case(ZoneOutMutation::PermitAfterCommit)]
#[test_case(ZoneOutMutation::NoAgeCheck)]
fn zone_mutation_breaks_property(mutation: ZoneOutMutation) {
    let model = ZoneOutModel::small(Some(mutation));
    assert_eq!(broken_property(&model), Some(NO_LATE_START));
}

#[test_case(TokenMutation::TimeoutAsProof, WITHIN_SLOTS)]
#[test_case(TokenMutation::ReceiverAdds, WITHIN_SLOTS)]
#[test_case(TokenMutation::NoClosing, WITHIN_SLOTS)]
#[test_case(TokenMutation::NoWait, WITHIN_SLOTS)]
#[test_case(TokenMutation::CountAfterSending, WITHIN_SLOTS)]
#[test_case(TokenMutation::CountsDropped, WITHIN_SLOTS)]
#[test_case(TokenMutation::RemovedOneByOne, "heals")]
fn token_mutation_breaks_property(mutation: TokenMutation, property: &str) {
    let model = TokenModel::small(Some(mutation));
    assert_eq!(broken_property(&model), Some(property));
}

#[test_case(RecordMutation::SendBeforeRecord, AT_MOST_ONCE)]
#[test_case(RecordMutation::UnknownRetried, AT_MOST_ONCE)]
#[test_case(RecordMutation::RecordsForgotten, NOT_RUN_CORRECT)]
#[test_case(RecordMutation::NotRunWithoutRecord, NOT_RUN_CORRECT)]
#[test_case(RecordMutation::GrantToAll, NOT_RUN_CORRECT)]
fn record_mutation_breaks_property(mutation: RecordMutation, property: &str) {
    let model = RecordModel::small(Some(mutation));
    assert_eq!(broken_property(&model), Some(property));
}

#[test_case(ShareMutation::LentBeforeCommit, WITHIN_QUOTA)]
#[test_case(ShareMutation::ReturnedBeforeCommit, WITHIN_QUOTA)]
#[test_case(ShareMutation::BorrowerAdds, WITHIN_QUOTA)]
#[test_case(ShareMutation::OwnUseLent, WITHIN_QUOTA)]
#[test_case(ShareMutation::UsedReturned, WITHIN_QUOTA)]
#[test_case(ShareMutation::ToldByItsOwnerOnly, "heals")]
fn share_mutation_breaks_property(mutation: ShareMutation, property: &str) {
    let model = ShareModel::small(Some(mutation));
    assert_eq!(broken_property(&model), Some(property));
}

#[test_case(TransferMutation::RecordFirst, IN_ONE_CELL)]
#[test_case(TransferMutation::RowFirst, IN_ONE_CELL)]
#[test_case(TransferMutation::NumberIgnored, IN_ONE_CELL)]
#[test_case(TransferMutation::StartWhileTransferred, RUNS_IN_ONE_CELL)]
#[test_case(TransferMutation::NoHeadGuard, IN_ONE_CELL)]
#[test_case(TransferMutation::EndBeforeRevocation, "heals")]
fn transfer_mutation_breaks_property(mutation: TransferMutation, property: &str) {
    let model = TransferModel::small(Some(mutation));
    assert_eq!(broken_property(&model), Some(property));
}
