//! Tests of which numbers of cells a document may set.

use sapphirestile_cells::CellMap;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::MonoTime;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::ZoneName;
use sapphirestile_daemon::document::ActiveDocument;
use sapphirestile_daemon::document::CellCountCheck;
use sapphirestile_daemon::vms::VmTable;
use sapphirestile_wire::api::AuthorName;
use sapphirestile_wire::api::DocumentChange;
use sapphirestile_wire::api::StoredDocument;
use sapphirestile_wire::vms::SharedWorker;
use sapphirestile_wire::vms::VmKind;
use sapphirestile_wire::vms::VmRecord;
use sapphirestile_wire::vms::VmState;
use test_case::test_case;

fn text(cells: u16) -> String {
    format!("[cells]\ncount = {cells}\n")
}

fn document(cells: u16) -> OperatorDocument {
    OperatorDocument::try_from(text(cells).as_str()).unwrap()
}

fn list(workers: usize) -> VmTable {
    let worker = |index| VmRecord {
        name: format!("worker-{index}"),
        kind: VmKind::Worker,
        address: "127.0.0.9:9000".to_owned(),
        zone: ZoneName::try_from("hki").unwrap(),
        state: VmState::Leaving,
        service: None,
        rack: None,
        size: None,
        worker: SharedWorker::default(),
    };
    VmTable::new((0..workers).map(worker).collect(), MonoTime::default())
}

fn active_document(cells: u16) -> ActiveDocument {
    let change = DocumentChange {
        based_on: ConfigRevision::default(),
        text: text(cells),
        author: AuthorName::try_from("operator-1").unwrap(),
        dry_run: false,
    };
    let stored = StoredDocument::successor(None, &change, 1);
    ActiveDocument::parse(stored, ConfigRevision::new(1)).unwrap()
}

#[test_case(1, 1; "one cell")]
#[test_case(4, 60; "many workers")]
#[test_case(64, 0; "no list yet")]
fn a_first_number_with_workers_for_each_cell_is_accepted(cells: u16, workers: usize) {
    let (current, vms) = (ActiveDocument::default(), list(workers));
    assert_eq!(
        CellCountCheck::new(&current, &vms).check(&document(cells)),
        Ok(())
    );
}

#[test]
fn a_first_number_that_leaves_a_cell_without_a_worker_is_refused() {
    let (current, vms) = (ActiveDocument::default(), list(2));
    let empty = CellMap::new(3).empty_cells(vms.worker_names());
    let fault = CellCountCheck::new(&current, &vms).check(&document(3));
    let text = fault.unwrap_err().to_string();
    assert!(text.contains("count = \"3\""), "{text}");
    assert!(text.contains("of the 2 workers listed"), "{text}");
    for cell in empty {
        assert!(text.contains(&cell.to_string()), "{text}");
    }
}

#[test]
fn a_number_in_force_cannot_be_changed_and_needs_no_workers() {
    let (current, vms) = (active_document(3), list(1));
    let check = CellCountCheck::new(&current, &vms);
    assert_eq!(check.check(&document(3)), Ok(()));
    let text = check.check(&document(1)).unwrap_err().to_string();
    assert!(text.contains("3, as in force"), "{text}");
}
