//! Rows of cells that this version cannot read.

use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonName;
use sapphirestile_core::MonoTime;
use sapphirestile_entry::CellClaims;
use sapphirestile_entry::CellTable;
use sapphirestile_entry::RowKeys;
use sapphirestile_entry::StoredRow;
use sapphirestile_jobs::CellLayout;

const NOW: MonoTime = MonoTime::from_millis(0);
const DAEMONS: usize = 20;

/// The first byte of a longer number, whose rest is missing.
const MALFORMED: [u8; 1] = [0xff];

fn row(key: &str, value: impl Into<Vec<u8>>, revision: u64) -> StoredRow {
    StoredRow {
        key: key.to_owned(),
        value: value.into(),
        revision,
    }
}

fn layout_row(revision: u64) -> StoredRow {
    let layout: CellLayout = serde_json::from_str(r#"{"cells": 2, "racks": []}"#).unwrap();
    let value = postcard::to_stdvec(&layout).unwrap();
    row(RowKeys::layout(), value, revision)
}

/// Guards against a cell without an owner because the row of another one cannot be read.
#[test]
fn cell_whose_row_cannot_be_read_keeps_no_daemon_from_other_cells() {
    let (unreadable, free) = (CellNumber::new(0), CellNumber::new(1));
    let rows = [
        layout_row(3),
        row(&RowKeys::ownership(unreadable), MALFORMED, 8),
    ];
    let table = CellTable::default().with_rows(&rows, NOW);
    for index in 0..DAEMONS {
        let name = DaemonName::try_from(format!("entry-{index}")).unwrap();
        let chosen = CellClaims::of(&name).observe(&table, |_| false, NOW);
        assert_eq!(chosen.map(|free| free.cell), Some(free), "{name}");
    }
}

/// Guards against a cell that is claimed as if it never had an owner.
#[test]
fn cell_whose_row_cannot_be_read_is_not_claimed() {
    let rows = [row(&RowKeys::ownership(CellNumber::new(0)), MALFORMED, 8)];
    let table = CellTable::default().with_rows(&rows, NOW);
    let table = table.with_rows(&rows, NOW);
    let name = DaemonName::try_from("entry-1").unwrap();
    assert_eq!(CellClaims::of(&name).observe(&table, |_| false, NOW), None);
}

/// Guards against workers that change their cell as a layout is replaced that was not read.
#[test]
fn layout_that_cannot_be_read_is_not_the_one_that_an_extension_replaces() {
    let malformed = row(RowKeys::layout(), MALFORMED, 7);
    let unread = CellTable::default().with_rows(std::slice::from_ref(&malformed), NOW);
    assert_eq!(unread.layout_revision, 0);
    let read = CellTable::default().with_rows(&[layout_row(3)], NOW);
    let table = read.with_rows(&[malformed], NOW);
    assert_eq!((table.layout.cells(), table.layout_revision), (2, 3));
}
