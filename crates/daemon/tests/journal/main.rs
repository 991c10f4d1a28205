//! Tests of a cell's journal with a store that loses responses or applies commits late.

mod fake_store;
mod random_commits;

use std::sync::Arc;

use fake_store::FakeStore;

use sapphirestile_cells::ArraySpec;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::CellState;
use sapphirestile_cells::EntryBody;
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
use sapphirestile_daemon::cells::JournalCommit;
use sapphirestile_daemon::cells::JournalOutcome;
use sapphirestile_daemon::context::StoreKeys;

const CELL: CellNumber = CellNumber::new(0);
const MANY_JOBS: u32 = 2;
const MANY_TASKS: u32 = 10_000;

struct JournalFixture {
    store: Arc<FakeStore>,
}

impl JournalFixture {
    fn new() -> Self {
        Self {
            store: Arc::new(FakeStore::default()),
        }
    }

    /// Loads the journal as a daemon does, and the state that it folds to.
    fn load(&self) -> (CellJournal, CellState) {
        let store: Arc<dyn StoreClient> = Arc::clone(&self.store) as Arc<dyn StoreClient>;
        let loaded = CellJournal::load(store.as_ref(), CELL).expect("the cell should load");
        (
            CellJournal::new(store, CELL, loaded.head_revision),
            loaded.state,
        )
    }
}

fn claim_commit(daemon: &str, state: &CellState) -> JournalCommit {
    let identity = DaemonIdentity {
        daemon: DaemonName::try_from(daemon).unwrap(),
        incarnation: IncarnationNumber::new(1),
    };
    let claiming = CellOwner::claim(CELL, identity, state.clone(), 77);
    commit_of(claiming.entry().clone())
}

fn empty_commit(daemon: &str, sequence: u64) -> JournalCommit {
    commit_of(JournalEntry {
        sequence: JournalSequence::new(sequence),
        writer: DaemonIdentity {
            daemon: DaemonName::try_from(daemon).unwrap(),
            incarnation: IncarnationNumber::new(1),
        },
        nonce: sequence,
        body: EntryBody::Batch(Vec::new()),
    })
}

fn commit_of(entry: JournalEntry) -> JournalCommit {
    JournalCommit {
        entry,
        config_revision: None,
        snapshot: None,
    }
}

#[test]
fn a_commit_whose_response_was_lost_is_done_when_retried() {
    let fixture = JournalFixture::new();
    let (mut journal, state) = fixture.load();
    let commit = claim_commit("entry-1", &state);
    fixture.store.lose_responses(1);
    assert!(journal.try_commit(&commit).is_err());
    assert_eq!(journal.try_commit(&commit).unwrap(), JournalOutcome::Done);
    let (_, state) = fixture.load();
    assert_eq!(state.epoch().get(), 1);
}

#[test]
fn a_paused_owner_cannot_commit_after_a_claim_even_when_the_claim_entry_was_deleted() {
    let fixture = JournalFixture::new();
    let (mut paused, state) = fixture.load();
    assert_eq!(
        paused.try_commit(&claim_commit("entry-1", &state)).unwrap(),
        JournalOutcome::Done
    );

    let (mut journal, state) = fixture.load();
    assert_eq!(
        journal
            .try_commit(&claim_commit("entry-2", &state))
            .unwrap(),
        JournalOutcome::Done
    );
    assert_eq!(
        paused.try_commit(&empty_commit("entry-1", 2)).unwrap(),
        JournalOutcome::Beaten
    );

    let (_, state) = fixture.load();
    let mut commit = empty_commit("entry-2", 3);
    commit.snapshot = Some(state);
    assert_eq!(journal.try_commit(&commit).unwrap(), JournalOutcome::Done);
    // The entry with this sequence number was deleted after the snapshot, so its writer is
    // unknown.
    assert_eq!(
        paused.try_commit(&empty_commit("entry-1", 2)).unwrap(),
        JournalOutcome::Deposed
    );
}

#[test]
fn an_entry_that_may_be_committed_before_a_claim_is_not_reported_as_beaten() {
    let fixture = JournalFixture::new();
    let (mut journal, state) = fixture.load();
    journal
        .try_commit(&claim_commit("entry-1", &state))
        .unwrap();
    let commit = empty_commit("entry-1", 2);
    fixture.store.lose_responses(1);
    assert!(journal.try_commit(&commit).is_err());

    let (mut rival, state) = fixture.load();
    rival.try_commit(&claim_commit("entry-2", &state)).unwrap();
    assert_eq!(
        journal.try_commit(&commit).unwrap(),
        JournalOutcome::Deposed
    );
}

#[test]
fn a_commit_that_requires_an_older_configuration_is_not_written() {
    let fixture = JournalFixture::new();
    let (mut journal, state) = fixture.load();
    journal
        .try_commit(&claim_commit("entry-1", &state))
        .unwrap();
    let planned_revision = fixture.store.put(StoreKeys::DOCUMENT, b"one");
    fixture.store.put(StoreKeys::DOCUMENT, b"two");
    let mut commit = empty_commit("entry-1", 2);
    commit.config_revision = Some(ConfigRevision::new(planned_revision));
    assert_eq!(
        journal.try_commit(&commit).unwrap(),
        JournalOutcome::ConfigMoved
    );
    let (_, state) = fixture.load();
    assert_eq!(state.sequence().get(), 1);
}

#[test]
fn a_snapshot_that_is_too_large_is_omitted() {
    let fixture = JournalFixture::new();
    let (mut journal, state) = fixture.load();
    journal
        .try_commit(&claim_commit("entry-1", &state))
        .unwrap();
    let mut large = CellState::default();
    for number in 0..MANY_JOBS {
        let spec = ArraySpec {
            job: JobName::try_from(format!("{number:0>63}")).unwrap(),
            customer: CustomerName::try_from("kennels").unwrap(),
            tasks: MANY_TASKS,
            size: ResourceSize::default(),
            run_ms: 1,
            urgent: false,
            zones: Vec::new(),
        };
        large
            .apply(&sapphirestile_cells::CellTransition::JobSubmitted(spec))
            .unwrap();
    }
    let mut commit = empty_commit("entry-1", 2);
    commit.snapshot = Some(large);
    assert_eq!(journal.try_commit(&commit).unwrap(), JournalOutcome::Done);
    let (_, state) = fixture.load();
    assert_eq!(
        state.sequence().get(),
        2,
        "the earlier entries should still be there"
    );
}
