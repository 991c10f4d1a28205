//! Sizes of journal entries and snapshots of a cell.

use sapphirestile_cells::CellTransition;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JournalEntry;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::JournalSequence;

use crate::ResultTable;
use crate::SizeSelection;
use crate::fixtures::CellFixture;
use crate::fixtures::CellSize;
use crate::fixtures::array_spec;
use crate::fixtures::daemon_identity;
use crate::fixtures::task_name;
use crate::fixtures::worker_name;

/// A large sequence number, because numbers are encoded in variable length.
const SEQUENCE: u64 = 1_000_000;

/// Measures a journal entry by the task starts that it commits.
pub fn entries(selection: SizeSelection) -> ResultTable {
    let mut table = ResultTable::new(
        "Journal entry by the starts that it commits",
        &["starts", "bytes"],
    );
    for &starts in selection.select(&[1, 10, 200]) {
        let bytes = postcard::to_stdvec(&entry(starts)).expect("a journal entry can be encoded");
        table.add(&[&starts, &bytes.len()]);
    }
    table
}

/// Measures the snapshot of a cell by its running, waiting and ended tasks.
pub fn snapshots(selection: SizeSelection) -> ResultTable {
    let mut table = ResultTable::new(
        "Snapshot of a cell by its tasks, in jobs of twenty",
        &["running", "waiting", "ended", "bytes"],
    );
    let sizes = [
        (300, 0, 0),
        (1_000, 0, 0),
        (3_000, 0, 0),
        (3_000, 10_000, 0),
        (3_000, 0, 5_000),
        (5_000, 10_000, 5_000),
    ];
    for &(running, waiting, ended) in selection.select(&sizes) {
        let workers = 140;
        let fixture = CellFixture::build(CellSize {
            workers,
            running,
            waiting,
            ended,
        });
        let bytes =
            postcard::to_stdvec(fixture.owner.state()).expect("a cell state can be encoded");
        table.add(&[&running, &waiting, &ended, &bytes.len()]);
    }
    table
}

fn entry(starts: usize) -> JournalEntry {
    let spec = array_spec(0, 1);
    let start = |index: usize| CellTransition::TaskAssigned {
        task: task_name(index / 20, 7),
        attempt: AttemptNumber::new(1),
        worker: worker_name(index),
        size: spec.size,
    };
    JournalEntry {
        sequence: JournalSequence::new(SEQUENCE),
        writer: daemon_identity(0),
        nonce: u64::MAX,
        body: EntryBody::Batch((0..starts).map(start).collect()),
    }
}
