//! Tests of the serialized ledger.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::RunnerName;
use sapphirestile_slots::TokenLedger;

const BYTES_PER_RUNNER_MAX: usize = 40;

fn ledger(runners: usize) -> TokenLedger {
    let mut draft = TokenLedger::default().draft();
    for daemon in 1..=7 {
        draft.add_member(&DaemonIdentity {
            daemon: DaemonName::try_from(format!("entry-rannikko-hki-{daemon}")).unwrap(),
            incarnation: IncarnationNumber::new(1_000_000 + daemon),
        });
    }
    for runner in 0..runners {
        let name = format!("koon-mitoitus-{runner:05}");
        draft.raise_slots(&RunnerName::try_from(name).unwrap(), 8);
    }
    draft.finish()
}

#[test]
fn ledger_round_trips_through_serialization() {
    let mut draft = ledger(2).draft();
    draft.raise_slots(&RunnerName::try_from("scarce").unwrap(), 3);
    let ledger = draft.finish();
    let bytes = postcard::to_stdvec(&ledger).unwrap();
    assert_eq!(postcard::from_bytes::<TokenLedger>(&bytes).unwrap(), ledger);
    assert_eq!(ledger.runners.get("scarce").unwrap().members.len(), 3);
}

#[test]
fn serialized_runner_is_small() {
    let size = |runners| postcard::to_stdvec(&ledger(runners)).unwrap().len();
    let added = size(2_000) - size(1_000);
    assert!(added <= 1_000 * BYTES_PER_RUNNER_MAX, "{added} bytes");
    println!("{} bytes with 48 runners", size(48));
    println!("{added} bytes for 1000 more");
}

#[test]
fn ledger_with_unsorted_members_is_rejected() {
    let mut ledger = ledger(1);
    ledger.members.reverse();
    let bytes = postcard::to_stdvec(&ledger).unwrap();
    assert!(postcard::from_bytes::<TokenLedger>(&bytes).is_err());
}

#[test]
fn ledger_that_retires_more_tokens_than_granted_is_rejected() {
    let mut ledger = ledger(1);
    let member = ledger.members[0].clone();
    let grant = ledger.runners.get_mut("koon-mitoitus-00000").unwrap();
    grant.members.get_mut(&member).unwrap().retired = 9;
    let bytes = postcard::to_stdvec(&ledger).unwrap();
    assert!(postcard::from_bytes::<TokenLedger>(&bytes).is_err());
}
