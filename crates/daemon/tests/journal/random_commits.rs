use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::JournalFixture;
use crate::commit_of;
use crate::fake_store::CommitFault;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JournalEntry;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::JournalSequence;
use sapphirestile_daemon::cells::CellJournal;
use sapphirestile_daemon::cells::JournalCommit;
use sapphirestile_daemon::cells::JournalOutcome;
use sapphirestile_daemon::context::StoreKeys;

const SEEDS: u64 = 200;
const STEPS: u32 = 300;
const WRITERS: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

/// A daemon that owns the cell or has not noticed yet that it lost it.
struct Writer {
    journal: CellJournal,
    next_sequence: u64,
    /// The commit to retry, while its outcome is unknown.
    unresolved: Option<JournalCommit>,
}

/// Three daemons that claim the cell and write to its journal, and the outcomes that they
/// were told.
struct RandomRun {
    fixture: JournalFixture,
    random: SmallRng,
    writers: [Option<Writer>; WRITERS.len()],
    nonce: u64,
    /// The latest revision of the document.
    document_revision: u64,
    /// The nonces of entries reported as committed.
    done: Vec<u64>,
    /// The nonces of entries reported as not in the journal.
    not_written: Vec<u64>,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let fixture = JournalFixture::new();
        let document_revision = fixture.store.put(StoreKeys::DOCUMENT, b"first");
        Self {
            fixture,
            random: SmallRng::seed_from_u64(seed),
            writers: [None, None, None],
            nonce: 0,
            document_revision,
            done: Vec::new(),
            not_written: Vec::new(),
        }
    }

    fn step(&mut self) {
        let fault = match self.random.random_range(0..10) {
            0 | 1 => CommitFault::ResponseLost,
            2 | 3 => CommitFault::NotApplied,
            4 => CommitFault::Late,
            _ => CommitFault::None,
        };
        self.fixture.store.set_fault(fault);
        if self.random.random_bool(0.1) {
            self.fixture.store.apply_late();
        }
        if self.random.random_bool(0.05) {
            self.document_revision = self.fixture.store.put(StoreKeys::DOCUMENT, b"later");
        }
        let index = self.random.random_range(0..WRITERS.len());
        let mut writer = match self.writers[index].take() {
            Some(writer) => writer,
            // A daemon that does not own the cell claims it now and then only.
            None if self.random.random_bool(0.2) => self.claim(index),
            None => return,
        };
        let commit = match writer.unresolved.take() {
            Some(commit) => commit,
            None => self.next_commit(index, &writer),
        };
        self.writers[index] = self.commit(writer, commit);
    }

    fn commit(&mut self, mut writer: Writer, commit: JournalCommit) -> Option<Writer> {
        let nonce = commit.entry.nonce;
        match writer.journal.try_commit(&commit) {
            Ok(JournalOutcome::Done) => {
                self.done.push(nonce);
                writer.next_sequence = commit.entry.sequence.get() + 1;
                Some(writer)
            }
            Ok(JournalOutcome::ConfigMoved) => {
                self.not_written.push(nonce);
                Some(writer)
            }
            Ok(JournalOutcome::Beaten) => {
                self.not_written.push(nonce);
                None
            }
            Ok(JournalOutcome::Deposed) => None,
            Err(_) => {
                writer.unresolved = Some(commit);
                Some(writer)
            }
        }
    }

    fn claim(&mut self, index: usize) -> Writer {
        let (journal, state) = self.fixture.load();
        let nonce = self.next_nonce();
        let claiming = CellOwner::claim(crate::CELL, identity(index), state, nonce);
        let entry = claiming.entry().clone();
        Writer {
            journal,
            next_sequence: entry.sequence.get(),
            unresolved: Some(commit_of(entry)),
        }
    }

    fn next_commit(&mut self, index: usize, writer: &Writer) -> JournalCommit {
        let mut commit = commit_of(JournalEntry {
            sequence: JournalSequence::new(writer.next_sequence),
            writer: identity(index),
            nonce: self.next_nonce(),
            body: EntryBody::Batch(Vec::new()),
        });
        if self.random.random_bool(0.5) {
            commit.config_revision = Some(ConfigRevision::new(self.document_revision));
        }
        if self.random.random_bool(0.2) {
            let (_, state) = self.fixture.load();
            // For a writer that has lost the cell this is the new owner's state; the guard
            // has to keep it out of the store.
            commit.snapshot = Some(state);
        }
        commit
    }

    fn next_nonce(&mut self) -> u64 {
        self.nonce += 1;
        self.nonce
    }

    fn check(&self, seed: u64) {
        let written = self.fixture.store.entries();
        let sequences: Vec<u64> = written.iter().map(|entry| entry.sequence.get()).collect();
        let expected: Vec<u64> = (1..=sequences.len() as u64).collect();
        assert_eq!(
            sequences, expected,
            "seed {seed}: expected one entry for each sequence number"
        );
        let nonces: Vec<u64> = written.iter().map(|entry| entry.nonce).collect();
        for nonce in &self.done {
            let times = nonces.iter().filter(|written| *written == nonce).count();
            assert_eq!(
                times, 1,
                "seed {seed}: entry {nonce} was reported as committed and should be written once"
            );
        }
        for nonce in &self.not_written {
            let is_written = nonces.contains(nonce);
            assert!(
                !is_written,
                "seed {seed}: entry {nonce} was reported as not written and should not be"
            );
        }
        let (_, state) = self.fixture.load();
        let last = sequences.last().copied().unwrap_or(0);
        assert_eq!(
            state.sequence().get(),
            last,
            "seed {seed}: the state should include the last entry"
        );
    }
}

fn identity(index: usize) -> DaemonIdentity {
    DaemonIdentity {
        daemon: DaemonName::try_from(WRITERS[index]).unwrap(),
        incarnation: IncarnationNumber::new(1),
    }
}

/// With lost responses, late commits and competing writers, each sequence number has one
/// entry, an entry reported as committed is written exactly once, and an entry reported as
/// not written never is.
#[test]
fn reported_outcomes_match_the_journal() {
    let (mut done, mut not_written) = (0, 0);
    for seed in 1..=SEEDS {
        let mut run = RandomRun::new(seed);
        for _ in 0..STEPS {
            run.step();
        }
        run.fixture.store.apply_late();
        run.check(seed);
        done += run.done.len();
        not_written += run.not_written.len();
    }
    println!("{done} entries done, {not_written} not written");
    assert!(done > 1_000 && not_written > 1_000, "{done}, {not_written}");
}
