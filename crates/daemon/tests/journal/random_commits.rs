use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Scene;
use crate::batch_of;
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
use sapphirestile_daemon::cells::JournalBatch;
use sapphirestile_daemon::cells::JournalOutcome;
use sapphirestile_daemon::context::StoreKeys;

const SEEDS: u64 = 200;
const STEPS: u32 = 300;
const WRITERS: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

/// A daemon that owns the cell, or thinks so.
struct Writer {
    journal: CellJournal,
    next: u64,
    batch: Option<JournalBatch>,
}

/// Three daemons that claim, write and are beaten, and what each was told.
struct RandomRun {
    scene: Scene,
    random: SmallRng,
    writers: [Option<Writer>; WRITERS.len()],
    nonce: u64,
    document: u64,
    done: Vec<u64>,
    not_written: Vec<u64>,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let scene = Scene::new();
        let document = scene.store.put(StoreKeys::DOCUMENT, b"first");
        Self {
            scene,
            random: SmallRng::seed_from_u64(seed),
            writers: [None, None, None],
            nonce: 0,
            document,
            done: Vec::new(),
            not_written: Vec::new(),
        }
    }

    fn step(&mut self) {
        let fault = match self.random.random_range(0..10) {
            0 | 1 => CommitFault::AnswerLost,
            2 | 3 => CommitFault::NotCarriedOut,
            4 => CommitFault::Late,
            _ => CommitFault::None,
        };
        self.scene.store.set_fault(fault);
        if self.random.random_bool(0.1) {
            self.scene.store.land_late();
        }
        if self.random.random_bool(0.05) {
            self.document = self.scene.store.put(StoreKeys::DOCUMENT, b"later");
        }
        let place = self.random.random_range(0..WRITERS.len());
        let mut writer = match self.writers[place].take() {
            Some(writer) => writer,
            // A rival claims now and then only.
            None if self.random.random_bool(0.2) => self.claim(place),
            None => return,
        };
        let batch = match writer.batch.take() {
            Some(batch) => batch,
            None => self.next_batch(place, &writer),
        };
        self.writers[place] = self.commit(writer, batch);
    }

    fn commit(&mut self, mut writer: Writer, batch: JournalBatch) -> Option<Writer> {
        let nonce = batch.entry.nonce;
        match writer.journal.try_commit(&batch) {
            Ok(JournalOutcome::Done) => {
                self.done.push(nonce);
                writer.next = batch.entry.sequence.get() + 1;
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
                writer.batch = Some(batch);
                Some(writer)
            }
        }
    }

    fn claim(&mut self, place: usize) -> Writer {
        let (journal, state) = self.scene.load();
        let nonce = self.next_nonce();
        let claiming = CellOwner::claim(crate::CELL, identity(place), state, nonce);
        let entry = claiming.entry().clone();
        Writer {
            journal,
            next: entry.sequence.get(),
            batch: Some(batch_of(entry)),
        }
    }

    fn next_batch(&mut self, place: usize, writer: &Writer) -> JournalBatch {
        let mut batch = batch_of(JournalEntry {
            sequence: JournalSequence::new(writer.next),
            writer: identity(place),
            nonce: self.next_nonce(),
            body: EntryBody::Batch(Vec::new()),
        });
        if self.random.random_bool(0.5) {
            batch.revision = Some(ConfigRevision::new(self.document));
        }
        if self.random.random_bool(0.2) {
            let (_, state) = self.scene.load();
            // Of one who was deposed it is another's, and the guard has to hold.
            batch.snapshot = Some(state);
        }
        batch
    }

    fn next_nonce(&mut self) -> u64 {
        self.nonce += 1;
        self.nonce
    }

    fn check(&self, seed: u64) {
        let written = self.scene.store.entries();
        let sequences: Vec<u64> = written.iter().map(|entry| entry.sequence.get()).collect();
        let expected: Vec<u64> = (1..=sequences.len() as u64).collect();
        assert_eq!(
            sequences, expected,
            "seed {seed}: one entry for each number"
        );
        let nonces: Vec<u64> = written.iter().map(|entry| entry.nonce).collect();
        for nonce in &self.done {
            let times = nonces.iter().filter(|written| *written == nonce).count();
            assert_eq!(times, 1, "seed {seed}: {nonce} is said to be written");
        }
        for nonce in &self.not_written {
            let is_written = nonces.contains(nonce);
            assert!(
                !is_written,
                "seed {seed}: {nonce} is said not to be written"
            );
        }
        let (_, state) = self.scene.load();
        let last = sequences.last().copied().unwrap_or(0);
        assert_eq!(
            state.sequence().get(),
            last,
            "seed {seed}: it folds to its end"
        );
    }
}

fn identity(place: usize) -> DaemonIdentity {
    DaemonIdentity {
        daemon: DaemonName::try_from(WRITERS[place]).unwrap(),
        incarnation: IncarnationNumber::new(1),
    }
}

/// Whatever is lost, late or beaten: each number has one entry, what is said to be
/// written is written once, and what is said not to be written never is.
#[test]
fn what_a_writer_is_told_is_true() {
    let (mut done, mut not_written) = (0, 0);
    for seed in 1..=SEEDS {
        let mut run = RandomRun::new(seed);
        for _ in 0..STEPS {
            run.step();
        }
        run.scene.store.land_late();
        run.check(seed);
        done += run.done.len();
        not_written += run.not_written.len();
    }
    println!("{done} entries done, {not_written} not written");
    assert!(done > 1_000 && not_written > 1_000, "{done}, {not_written}");
}
