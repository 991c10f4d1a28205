//! The journal of a cell against a store that loses answers.

mod fake_store;
mod random_commits;

use std::sync::Arc;

use fake_store::FakeStore;

use sapphirestile_cells::CellOwner;
use sapphirestile_cells::CellState;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JobSpec;
use sapphirestile_cells::JournalEntry;
use sapphirestile_clients::store::StoreClient;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::CustomerName;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::ResourceSize;
use sapphirestile_daemon::cells::CellJournal;
use sapphirestile_daemon::cells::JournalBatch;
use sapphirestile_daemon::cells::JournalOutcome;
use sapphirestile_daemon::context::StoreKeys;

const CELL: CellNumber = CellNumber::new(0);
const MANY_JOBS: u32 = 2;
const MANY_TASKS: u32 = 10_000;

struct Scene {
    store: Arc<FakeStore>,
}

impl Scene {
    fn new() -> Self {
        Self {
            store: Arc::new(FakeStore::default()),
        }
    }

    /// The journal as a daemon reads it, and the state that it folds to.
    fn load(&self) -> (CellJournal, CellState) {
        let store: Arc<dyn StoreClient> = Arc::clone(&self.store) as Arc<dyn StoreClient>;
        let loaded = CellJournal::load(store.as_ref(), CELL).expect("the cell is read");
        (CellJournal::new(store, CELL, loaded.head), loaded.state)
    }
}

fn claim_by(daemon: &str, state: &CellState) -> JournalBatch {
    let identity = DaemonIdentity {
        daemon: DaemonName::try_from(daemon).unwrap(),
        incarnation: IncarnationNumber::new(1),
    };
    let claiming = CellOwner::claim(CELL, identity, state.clone(), 77);
    batch_of(claiming.entry().clone())
}

fn next_by(daemon: &str, sequence: u64) -> JournalBatch {
    batch_of(JournalEntry {
        sequence: JournalSequence::new(sequence),
        writer: DaemonIdentity {
            daemon: DaemonName::try_from(daemon).unwrap(),
            incarnation: IncarnationNumber::new(1),
        },
        nonce: sequence,
        body: EntryBody::Batch(Vec::new()),
    })
}

fn batch_of(entry: JournalEntry) -> JournalBatch {
    JournalBatch {
        entry,
        revision: None,
        snapshot: None,
    }
}

#[test]
fn a_lost_answer_is_found_to_be_done() {
    let scene = Scene::new();
    let (mut journal, state) = scene.load();
    let batch = claim_by("entry-1", &state);
    scene.store.lose_answers(1);
    assert!(journal.try_commit(&batch).is_err());
    assert_eq!(journal.try_commit(&batch).unwrap(), JournalOutcome::Done);
    let (_, state) = scene.load();
    assert_eq!(state.epoch().get(), 1);
}

#[test]
fn a_paused_owner_is_beaten_after_a_claim_even_when_its_place_was_deleted() {
    let scene = Scene::new();
    let (mut paused, state) = scene.load();
    assert_eq!(
        paused.try_commit(&claim_by("entry-1", &state)).unwrap(),
        JournalOutcome::Done
    );

    let (mut journal, state) = scene.load();
    assert_eq!(
        journal.try_commit(&claim_by("entry-2", &state)).unwrap(),
        JournalOutcome::Done
    );
    assert_eq!(
        paused.try_commit(&next_by("entry-1", 2)).unwrap(),
        JournalOutcome::Beaten
    );

    let (_, state) = scene.load();
    let mut batch = next_by("entry-2", 3);
    batch.snapshot = Some(state);
    assert_eq!(journal.try_commit(&batch).unwrap(), JournalOutcome::Done);
    // The entry of this place is gone, so what it was cannot be told any more.
    assert_eq!(
        paused.try_commit(&next_by("entry-1", 2)).unwrap(),
        JournalOutcome::Deposed
    );
}

#[test]
fn an_entry_that_landed_before_a_claim_is_not_said_to_be_beaten() {
    let scene = Scene::new();
    let (mut journal, state) = scene.load();
    journal.try_commit(&claim_by("entry-1", &state)).unwrap();
    let batch = next_by("entry-1", 2);
    scene.store.lose_answers(1);
    assert!(journal.try_commit(&batch).is_err());

    let (mut rival, state) = scene.load();
    rival.try_commit(&claim_by("entry-2", &state)).unwrap();
    assert_eq!(journal.try_commit(&batch).unwrap(), JournalOutcome::Deposed);
}

#[test]
fn a_batch_made_with_an_older_configuration_is_not_written() {
    let scene = Scene::new();
    let (mut journal, state) = scene.load();
    journal.try_commit(&claim_by("entry-1", &state)).unwrap();
    let made_with = scene.store.put(StoreKeys::DOCUMENT, b"one");
    scene.store.put(StoreKeys::DOCUMENT, b"two");
    let mut batch = next_by("entry-1", 2);
    batch.revision = Some(ConfigRevision::new(made_with));
    assert_eq!(
        journal.try_commit(&batch).unwrap(),
        JournalOutcome::ConfigMoved
    );
    let (_, state) = scene.load();
    assert_eq!(state.sequence().get(), 1);
}

#[test]
fn a_snapshot_that_is_too_large_is_left_out() {
    let scene = Scene::new();
    let (mut journal, state) = scene.load();
    journal.try_commit(&claim_by("entry-1", &state)).unwrap();
    let mut large = CellState::default();
    for number in 0..MANY_JOBS {
        let order = JobSpec {
            job: JobName::try_from(format!("{number:0>63}")).unwrap(),
            customer: CustomerName::try_from("kennels").unwrap(),
            tasks: MANY_TASKS,
            size: ResourceSize::default(),
            run_ms: 1,
            urgent: false,
            zones: Vec::new(),
        };
        large
            .apply(&sapphirestile_cells::CellTransition::JobSubmitted(order))
            .unwrap();
    }
    let mut batch = next_by("entry-1", 2);
    batch.snapshot = Some(large);
    assert_eq!(journal.try_commit(&batch).unwrap(), JournalOutcome::Done);
    let (_, state) = scene.load();
    assert_eq!(
        state.sequence().get(),
        2,
        "the entries before are still there"
    );
}
