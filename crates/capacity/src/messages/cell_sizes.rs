//! Entries and snapshots of a cell's journal.

use sapphirestile_cells::CellTransition;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JournalEntry;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::JournalSequence;

use crate::ResultTable;
use crate::SizeScale;
use crate::scenes::CellScene;
use crate::scenes::CellSize;
use crate::scenes::identity;
use crate::scenes::job_order;
use crate::scenes::task_name;
use crate::scenes::worker_name;

const SEQUENCE: u64 = 1_000_000;

pub fn entries(scale: SizeScale) -> ResultTable {
    let mut table = ResultTable::new(
        "Journal entry by the starts that it commits",
        &["starts", "bytes"],
    );
    for &starts in scale.pick(&[1, 10, 200]) {
        let bytes = postcard::to_stdvec(&entry(starts)).expect("an entry is encodable");
        table.add(&[&starts, &bytes.len()]);
    }
    table
}

pub fn snapshots(scale: SizeScale) -> ResultTable {
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
    for &(running, waiting, ended) in scale.pick(&sizes) {
        let workers = 140;
        let scene = CellScene::build(CellSize {
            workers,
            running,
            waiting,
            ended,
        });
        let bytes = postcard::to_stdvec(scene.owner.state()).expect("a state is encodable");
        table.add(&[&running, &waiting, &ended, &bytes.len()]);
    }
    table
}

fn entry(starts: usize) -> JournalEntry {
    let order = job_order(0, 1);
    let start = |place: usize| CellTransition::TaskAssigned {
        task: task_name(place / 20, 7),
        attempt: AttemptNumber::new(1),
        worker: worker_name(place),
        size: order.size,
    };
    JournalEntry {
        sequence: JournalSequence::new(SEQUENCE),
        writer: identity(0),
        nonce: u64::MAX,
        body: EntryBody::Batch((0..starts).map(start).collect()),
    }
}
