//! Lists the searches of a set.

use crate::cell_ownership::OwnershipModel;
use crate::cell_ownership::OwnershipMutation;
use crate::cell_ownership::OwnershipScenario;
use crate::check_run::CaseSet;
use crate::check_run::CheckCase;
use crate::job_ownership::JobBounds;
use crate::job_ownership::JobModel;
use crate::job_ownership::JobMutation;
use crate::request_record::RecordModel;
use crate::request_record::RecordMutation;
use crate::share_lending::ShareModel;
use crate::share_lending::ShareMutation;
use crate::task_transfer::TransferModel;
use crate::task_transfer::TransferMutation;
use crate::token_handover::TokenModel;
use crate::token_handover::TokenMutation;
use crate::zone_out::ZoneOutModel;
use crate::zone_out::ZoneOutMutation;

/// The searches of `set`, in a fixed order by protocol.
///
/// # Examples
///
/// ```
/// use sapphirestile_specification::CaseSet;
/// use sapphirestile_specification::list_cases;
///
/// let cases = list_cases(CaseSet::Small);
/// assert_eq!(cases[0].name(), "cell-ownership/handover");
/// ```
#[must_use]
pub fn list_cases(set: CaseSet) -> Vec<CheckCase> {
    match set {
        CaseSet::Small => {
            let mut cases = ownership_cases(&OwnershipScenario::SMALL);
            cases.extend(job_cases(&JobBounds::SMALL));
            cases.push(CheckCase::new(
                "zone-out",
                "small",
                ZoneOutModel::small(None),
            ));
            cases.push(CheckCase::new(
                "token-handover",
                "small",
                TokenModel::small(None),
            ));
            let model = TokenModel::incarnations(None);
            cases.push(CheckCase::new("token-handover", "incarnations", model));
            cases.push(CheckCase::new(
                "request-record",
                "small",
                RecordModel::small(None),
            ));
            cases.push(CheckCase::new(
                "share-lending",
                "small",
                ShareModel::small(None),
            ));
            let model = TransferModel::small(None);
            cases.push(CheckCase::new("task-transfer", "small", model));
            cases
        }
        CaseSet::Large => {
            let mut cases = ownership_cases(&OwnershipScenario::LARGE);
            cases.extend(job_cases(&JobBounds::LARGE));
            cases.push(CheckCase::new(
                "zone-out",
                "large",
                ZoneOutModel::large(None),
            ));
            cases.push(CheckCase::new(
                "token-handover",
                "large",
                TokenModel::large(None),
            ));
            cases.push(CheckCase::new(
                "request-record",
                "large",
                RecordModel::large(None),
            ));
            cases.push(CheckCase::new(
                "share-lending",
                "large",
                ShareModel::large(None),
            ));
            let model = TransferModel::large(None);
            cases.push(CheckCase::new("task-transfer", "large", model));
            cases
        }
        CaseSet::Mutations => mutation_cases(),
    }
}

fn ownership_cases(scenarios: &[OwnershipScenario]) -> Vec<CheckCase> {
    let cases = scenarios.iter().map(|scenario| {
        let model = OwnershipModel {
            bounds: scenario.bounds,
            mutation: None,
        };
        CheckCase::new("cell-ownership", scenario.name, model)
    });
    cases.collect()
}

fn job_cases(scenarios: &[(&str, JobBounds)]) -> Vec<CheckCase> {
    let cases = scenarios.iter().map(|(name, bounds)| {
        let model = JobModel {
            bounds: *bounds,
            mutation: None,
        };
        CheckCase::new("job-ownership", name, model)
    });
    cases.collect()
}

fn mutation_cases() -> Vec<CheckCase> {
    let mut cases = Vec::new();
    for (name, mutation) in OwnershipMutation::ALL {
        let model = OwnershipModel {
            bounds: OwnershipScenario::breaking(mutation),
            mutation: Some(mutation),
        };
        cases.push(CheckCase::new("cell-ownership", name, model));
    }
    for (name, mutation) in JobMutation::ALL {
        let model = JobModel {
            bounds: JobBounds::breaking(mutation),
            mutation: Some(mutation),
        };
        cases.push(CheckCase::new("job-ownership", name, model));
    }
    for (name, mutation) in ZoneOutMutation::ALL {
        let model = ZoneOutModel::small(Some(mutation));
        cases.push(CheckCase::new("zone-out", name, model));
    }
    for (name, mutation) in TokenMutation::ALL {
        let model = TokenModel::small(Some(mutation));
        cases.push(CheckCase::new("token-handover", name, model));
    }
    for (name, mutation) in RecordMutation::ALL {
        let model = RecordModel::small(Some(mutation));
        cases.push(CheckCase::new("request-record", name, model));
    }
    for (name, mutation) in ShareMutation::ALL {
        let model = ShareModel::small(Some(mutation));
        cases.push(CheckCase::new("share-lending", name, model));
    }
    for (name, mutation) in TransferMutation::ALL {
        let model = TransferModel::small(Some(mutation));
        cases.push(CheckCase::new("task-transfer", name, model));
    }
    cases
}
