//! Assignment of racks to cells.

use sapphirestile_core::CellNumber;
use sapphirestile_core::SortedTable;
use sapphirestile_core::ZoneName;
use sapphirestile_jobs::CellLayout;
use sapphirestile_jobs::RackSize;
use test_case::test_case;

use crate::test_values::worker;

const ZONES: usize = 6;
const RACK_WORKERS: usize = 20;

fn sizes(racks_per_zone: usize) -> SortedTable<Box<str>, RackSize> {
    let racks = (0..ZONES).flat_map(|zone| (0..racks_per_zone).map(move |rack| (zone, rack)));
    let size = |(zone, rack): (usize, usize)| {
        let size = RackSize {
            zone: ZoneName::try_from(format!("zone-{zone}").as_str()).unwrap(),
            workers: RACK_WORKERS,
        };
        (format!("zone-{zone}/r{zone}-{rack}").into(), size)
    };
    racks.map(size).collect()
}

fn cell_of(layout: &CellLayout, zone: usize, rack: usize) -> CellNumber {
    let entry = worker("i-1", &format!("zone-{zone}"), &format!("r{zone}-{rack}"));
    layout.cell_of(&entry).expect("the rack has a cell")
}

#[test_case(1, 1; "120 workers")]
#[test_case(9, 9; "1080 workers")]
#[test_case(72, 72; "8640 workers")]
fn cells_follow_the_workers_and_have_some_in_every_zone(racks_per_zone: usize, cells: u16) {
    let sizes = sizes(racks_per_zone);
    let layout = CellLayout::default()
        .extended(&sizes, ZONES * RACK_WORKERS)
        .unwrap();
    assert_eq!(layout.cells(), cells);
    for zone in 0..ZONES {
        let mut cells_of_zone: Vec<CellNumber> = (0..racks_per_zone)
            .map(|rack| cell_of(&layout, zone, rack))
            .collect();
        cells_of_zone.sort_unstable();
        let all: Vec<CellNumber> = (0..cells).map(CellNumber::new).collect();
        assert_eq!(cells_of_zone, all, "zone {zone}");
    }
}

/// A worker whose cell changed would get orders from two owners.
#[test]
fn an_extension_moves_no_rack() {
    let before = CellLayout::default().extended(&sizes(2), 60).unwrap();
    let after = before.extended(&sizes(5), 60).unwrap();
    assert!(after.cells() > before.cells());
    for zone in 0..ZONES {
        for rack in 0..2 {
            assert_eq!(cell_of(&after, zone, rack), cell_of(&before, zone, rack));
        }
    }
    let new: Vec<CellNumber> = (2..5).map(|rack| cell_of(&after, 0, rack)).collect();
    assert!(
        new.iter().any(|cell| cell.get() >= before.cells()),
        "{new:?}"
    );
}

/// A row that another version wrote must not end the process.
#[test]
fn a_layout_with_a_rack_in_a_cell_that_does_not_exist_can_be_extended() {
    let text = r#"{"cells": 1, "racks": [["zone-0/r0-0", 7]]}"#;
    let layout: CellLayout = serde_json::from_str(text).unwrap();
    let extended = layout.extended(&sizes(2), 60).unwrap();
    assert_eq!(extended.cells(), 4);
}

#[test]
fn a_rack_is_found_by_its_label() {
    let layout = CellLayout::default().extended(&sizes(3), 60).unwrap();
    assert_eq!(layout.cell_of_label("r4-2"), Some(cell_of(&layout, 4, 2)));
    assert_eq!(layout.cell_of_label("r9-9"), None);
}
