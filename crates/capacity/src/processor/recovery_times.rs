//! Time that a new owner of a cell needs before it may start tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ResultTable;
use crate::fixtures::CellFixture;
use crate::fixtures::CellSize;
use crate::fixtures::daemon_identity;
use crate::report::TimingSummary;
use crate::report::nanos_per_unit;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::CellState;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::OwningPhase;
use sapphirestile_cells::TaskEntry;
use sapphirestile_clients::http::PeerAddress;
use sapphirestile_clients::store::EtcdClient;
use sapphirestile_clients::store::StoreClient;
use sapphirestile_core::CellNumber;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::TaskName;
use sapphirestile_daemon::cells::CellJournal;
use sapphirestile_daemon::cells::JournalCommit;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_standins::store::StoreStandin;

const CELL: CellNumber = CellNumber::new(0);
const STORE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of journal entries between two snapshots.
const TAIL_ENTRIES: u64 = 63;
/// Task checkpoints in each of these entries.
const TAIL_CHECKPOINTS: usize = 17;
const CHECKPOINT_STEP_MS: u64 = 60_000;

/// Measures loading a cell from a stand-in of the store, and claiming it.
pub fn recovery_times(rounds: usize) -> ResultTable {
    let mut table = ResultTable::new(
        "Recovery of a cell from the store by its tasks, us: median (least to most)",
        &["running", "ended", "workers", "read and fold", "open"],
    );
    for (running, ended, workers) in [(300, 500, 35), (1_000, 1_700, 70), (3_000, 5_000, 140)] {
        let fixture = CellFixture::build(CellSize {
            workers,
            running,
            waiting: 0,
            ended,
        });
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let standin = StoreStandin::start(address, StoreFaults::default());
        let standin = standin.expect("the stand-in of the store starts");
        let peer =
            PeerAddress::try_from(standin.address()).expect("the address of the stand-in is valid");
        let client = EtcdClient::new(peer, STORE_TIMEOUT);
        let store: Arc<dyn StoreClient> = Arc::new(client);
        write_journal(&store, fixture.owner.state());
        let load = || CellJournal::load(&*store, CELL).expect("the cell is loaded from the store");
        let state = load().state;
        let load_time = TimingSummary::measure(rounds, || nanos_per_unit(1, load));
        let open = TimingSummary::measure(rounds, || {
            nanos_per_unit(1, || open_cell(state.clone(), &fixture))
        });
        table.add(&[&running, &ended, &workers, &load_time, &open]);
    }
    table
}

/// Writes a snapshot and the largest number of entries that can follow it.
fn write_journal(store: &Arc<dyn StoreClient>, state: &CellState) {
    let mut journal = CellJournal::new(Arc::clone(store), CELL, 0);
    let first = state.sequence().get();
    for step in 0..=TAIL_ENTRIES {
        let entry = JournalEntry {
            sequence: JournalSequence::new(first + step),
            writer: daemon_identity(0),
            nonce: step + 1,
            body: EntryBody::Batch(checkpoint_transitions(state, step)),
        };
        let snapshot = (step == 0).then(|| state.clone());
        let commit = JournalCommit {
            entry,
            snapshot,
            config_revision: None,
        };
        let outcome = journal.try_commit(&commit);
        outcome.expect("the store answers");
    }
}

/// New checkpoints of the first running tasks in `state`.
fn checkpoint_transitions(state: &CellState, step: u64) -> Vec<CellTransition> {
    let checkpoint = |(task, entry): (&TaskName, &TaskEntry)| match entry {
        TaskEntry::Assigned(cycle) => Some(CellTransition::TaskCheckpointed {
            task: task.clone(),
            attempt: cycle.phase().attempt,
            checkpoint_ms: step * CHECKPOINT_STEP_MS,
        }),
        _ => None,
    };
    let transitions = state.tasks().iter().filter_map(checkpoint);
    transitions.take(TAIL_CHECKPOINTS).collect()
}

/// Claims a cell and sets its workers; the first sessions would come next.
fn open_cell(state: CellState, fixture: &CellFixture) -> CellOwner<OwningPhase> {
    let mut owner = CellOwner::claim(CELL, daemon_identity(1), state, 1).claimed();
    owner.set_workers(&fixture.workers, fixture.now);
    owner
}
