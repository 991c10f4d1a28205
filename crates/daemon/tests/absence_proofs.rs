//! Tests of what proves that a member is gone. A wrong proof would reclaim tokens that a
//! running daemon still uses.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ZoneName;
use sapphirestile_daemon::members::MemberTable;
use sapphirestile_daemon::tokens::AbsenceProofs;
use sapphirestile_daemon::tokens::LedgerRow;
use sapphirestile_daemon::vms::VmTable;
use sapphirestile_wire::vms::SharedWorker;
use sapphirestile_wire::vms::VmKind;
use sapphirestile_wire::vms::VmRecord;
use sapphirestile_wire::vms::VmState;

fn identity(daemon: &str, incarnation: u64) -> DaemonIdentity {
    DaemonIdentity {
        daemon: DaemonName::try_from(daemon).unwrap(),
        incarnation: IncarnationNumber::new(incarnation),
    }
}

fn list(daemons: &[&str], read_ms: u64) -> VmTable {
    let records = daemons.iter().map(|daemon| VmRecord {
        name: (*daemon).to_owned(),
        kind: VmKind::Entry,
        address: "127.0.0.1:7000".to_owned(),
        zone: ZoneName::try_from("near-a").unwrap(),
        rack: None,
        service: None,
        worker: SharedWorker::Unknown,
        size: None,
        state: VmState::Live,
    });
    VmTable::new(records.collect(), MonoTime::from_millis(read_ms))
}

/// Whether a member is proven gone after these lists were read one after the other.
fn is_gone(member: &DaemonIdentity, lists: &[VmTable], members: &MemberTable) -> bool {
    let mut proofs = AbsenceProofs::default();
    for vms in lists {
        proofs.record_list(vms, "entry-1", std::slice::from_ref(member));
    }
    let row = LedgerRow::default();
    proofs.is_gone(member, &row, members, lists.last().unwrap())
}

#[test]
fn a_later_incarnation_proves_the_earlier_one_gone() {
    let mut members = MemberTable::default();
    let address = "127.0.0.1:7000".parse().unwrap();
    let daemon = DaemonName::try_from("entry-2").unwrap();
    members.register(&daemon, IncarnationNumber::new(9), address);
    let lists = [list(&["entry-1", "entry-2"], 0)];
    assert!(is_gone(&identity("entry-2", 8), &lists, &members));
    assert!(!is_gone(&identity("entry-2", 9), &lists, &members));
}

#[test]
fn a_missing_vm_proves_a_member_gone_only_after_the_longest_lag_of_the_list() {
    let members = MemberTable::default();
    let member = identity("entry-2", 8);
    let early = [list(&["entry-1"], 1_000), list(&["entry-1"], 30_999)];
    assert!(!is_gone(&member, &early, &members));
    let late = [list(&["entry-1"], 1_000), list(&["entry-1"], 31_000)];
    assert!(is_gone(&member, &late, &members));
}

#[test]
fn an_unchanged_list_counts_as_another_read() {
    let members = MemberTable::default();
    let member = identity("entry-2", 8);
    let at = MonoTime::from_millis;
    let without = list(&["entry-1"], 1_000);
    let early = [without.clone(), without.with_read_time(at(30_999))];
    assert!(!is_gone(&member, &early, &members));
    let late = [without.clone(), without.with_read_time(at(31_000))];
    assert!(is_gone(&member, &late, &members));
    let with = list(&["entry-1", "entry-2"], 1_000);
    let listed = [with.clone(), with.with_read_time(at(90_000))];
    assert!(!is_gone(&member, &listed, &members));
}

#[test]
fn a_vm_listed_in_between_restarts_the_wait_for_the_lag() {
    let members = MemberTable::default();
    let at = MonoTime::from_millis;
    let without = list(&["entry-1"], 0);
    let lists = [
        without.clone(),
        list(&["entry-1", "entry-2"], 20_000),
        without.with_read_time(at(40_000)),
        without.with_read_time(at(69_999)),
    ];
    assert!(!is_gone(&identity("entry-2", 8), &lists, &members));
    let later = [&lists[..], &[without.with_read_time(at(70_000))]].concat();
    assert!(is_gone(&identity("entry-2", 8), &later, &members));
}

#[test]
fn a_vm_that_is_listed_again_is_not_gone() {
    let members = MemberTable::default();
    let lists = [
        list(&["entry-1"], 0),
        list(&["entry-1", "entry-2"], 20_000),
        list(&["entry-1"], 40_000),
    ];
    assert!(!is_gone(&identity("entry-2", 8), &lists, &members));
}

#[test]
fn a_list_without_the_own_vm_proves_nothing() {
    let members = MemberTable::default();
    let lists = [list(&["entry-3"], 0), list(&["entry-3"], 90_000)];
    assert!(!is_gone(&identity("entry-2", 8), &lists, &members));
}

#[test]
fn a_removed_registration_proves_a_member_gone() {
    let member = identity("entry-2", 8);
    let row = LedgerRow {
        unregistered: vec![member.clone()],
        ..LedgerRow::default()
    };
    let (members, vms) = (MemberTable::default(), list(&["entry-1", "entry-2"], 0));
    let proofs = AbsenceProofs::default();
    assert!(proofs.is_gone(&member, &row, &members, &vms));
    assert!(!proofs.is_gone(&identity("entry-2", 9), &row, &members, &vms));
}
