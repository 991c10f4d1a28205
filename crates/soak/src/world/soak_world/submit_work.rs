//! What callers ask for.

use rand::Rng;

use crate::CellSeat;
use crate::FaultKind;
use crate::JobTries;
use crate::OpenSeat;
use crate::ProcessMark;
use crate::SoakDaemon;
use crate::SoakEvent;
use crate::SoakWorld;
use crate::SubmitReply;
use crate::TryFate;
use crate::world::soak_world::keep_cells::CUSTOMERS;
use sapphirestile_cells::ArraySpec;
use sapphirestile_cells::RequestRecord;
use sapphirestile_cells::TransitionError;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::RequestKey;
use sapphirestile_core::ResourceSize;

const KEYS: u32 = 40;
const SENT_PROBABILITY: f64 = 0.7;
const CANCELLED_AT_ONCE: usize = 6;

impl SoakWorld {
    pub(super) fn submit_work(&mut self) {
        if self.healed {
            return;
        }
        let job = self.pick_job();
        self.try_job(&job);
        if self.draws(FaultKind::SubmitTwice, 0.5) {
            self.try_job(&job);
        }
        self.record_key();
        let next = self.now + self.rng.random_range(200..4_000);
        self.queue.push(next, SoakEvent::SubmitWork);
    }

    pub(super) fn cancel_burst(&mut self) {
        for _ in 0..CANCELLED_AT_ONCE {
            let count = self.ledger.jobs.len();
            if count == 0 {
                return;
            }
            let place = self.rng.random_range(0..count);
            let Some(tries) = self.ledger.jobs.values().nth(place) else {
                return;
            };
            let (cell, job) = (tries.cell, tries.order.job.clone());
            if let Some((_, seat)) = self.any_owner(cell) {
                let _unknown = seat.owner.cancel_job(&job);
            }
        }
    }

    /// Gives the answers whose entries are in the journal.
    pub(super) fn give_replies(&mut self, mark: ProcessMark, cell: CellNumber) {
        let daemon = &mut self.daemons[mark.place];
        let identity = daemon.identity();
        let seat = daemon.seats.get_mut(&cell);
        let Some(seat) = seat.and_then(CellSeat::open) else {
            return;
        };
        let reached = seat.owner.sequence();
        let (due, rest) = std::mem::take(&mut seat.replies)
            .into_iter()
            .partition::<Vec<_>, _>(|reply| reply.sequence() <= reached);
        seat.replies = rest;
        for reply in due {
            match reply {
                SubmitReply::Job { job, place, .. } => self.tell_done(cell, &job, place),
                SubmitReply::Key { key, nonce, .. } => {
                    let record = self.store.rows(cell).truth.records().get(&key);
                    if record
                        .is_none_or(|record| (&record.sender, record.nonce) != (&identity, nonce))
                    {
                        self.broken(format!("{} is not recorded", key.as_str()));
                    }
                    self.send_or_withdraw(cell, &key, nonce);
                }
            }
        }
    }

    /// The holder of a record sends the request, or takes its record back.
    fn send_or_withdraw(&mut self, cell: CellNumber, key: &RequestKey, nonce: u64) {
        if self.rng.random_bool(SENT_PROBABILITY) {
            let noted = self.ledger.note_sent(key);
            self.check(noted);
        } else if let Some((_, seat)) = self.any_owner(cell) {
            let _unknown = seat.owner.withdraw_request(key, nonce);
        }
    }

    fn tell_done(&mut self, cell: CellNumber, job: &JobName, place: usize) {
        if !self.store.rows(cell).truth.jobs().contains(job) {
            self.broken(format!("{job} was answered done, and no journal holds it"));
        }
        if let Some(tries) = self.ledger.jobs.get_mut(job) {
            tries.fates[place] = TryFate::Done;
        }
    }

    fn try_job(&mut self, job: &JobName) {
        let Some(tries) = self.ledger.jobs.get_mut(job) else {
            return;
        };
        let place = tries.fates.len();
        tries.fates.push(TryFate::NotRun);
        let (cell, order) = (tries.cell, tries.order.clone());
        let Some((mark, seat)) = self.any_owner(cell) else {
            return;
        };
        let submitted = seat.owner.submit_job(&order);
        if !matches!(submitted, Ok(()) | Err(TransitionError::AlreadySubmitted)) {
            return;
        }
        let sequence = seat.owner.last_proposed();
        let job = job.clone();
        seat.replies.push(SubmitReply::Job {
            job: job.clone(),
            place,
            sequence,
        });
        if let Some(tries) = self.ledger.jobs.get_mut(&job) {
            tries.fates[place] = TryFate::Unknown;
        }
        self.give_replies(mark, cell);
    }

    fn record_key(&mut self) {
        let number = self.rng.random_range(0..KEYS);
        let key = format!("order-{number}");
        let key = RequestKey::try_from(key.as_str()).expect("the key is well formed");
        let cell = CellNumber::new(u16::try_from(number).unwrap_or(0) % super::CELLS);
        let recorded_unix_s = 1_000_000 + self.now / 1_000;
        let nonce = self.rng.random();
        let senders: Vec<_> = self.daemons.iter().map(SoakDaemon::identity).collect();
        let Some((mark, seat)) = self.any_owner(cell) else {
            return;
        };
        let record = RequestRecord {
            nonce,
            sender: senders[mark.place].clone(),
            recorded_unix_s,
        };
        if seat.owner.record_request(&key, &record).is_ok() {
            let sequence = seat.owner.last_proposed();
            seat.replies.push(SubmitReply::Key {
                key,
                nonce,
                sequence,
            });
        }
        self.give_replies(mark, cell);
    }

    /// A new job, or one that was submitted before.
    fn pick_job(&mut self) -> JobName {
        let count = self.ledger.jobs.len();
        if count > 0 && self.rng.random_bool(0.2) {
            let place = self.rng.random_range(0..count);
            let name = self.ledger.jobs.keys().nth(place);
            return name.expect("the place is that of a job").clone();
        }
        let name = format!("job-{count:04}");
        let job = JobName::try_from(name.as_str()).expect("the name is well formed");
        let customer = CUSTOMERS[self.rng.random_range(0..CUSTOMERS.len())];
        let order = ArraySpec {
            job: job.clone(),
            customer: CustomerName::try_from(customer).expect("the name is well formed"),
            tasks: self.rng.random_range(1..8),
            size: ResourceSize {
                cpu_milli: self.rng.random_range(200..4_000),
                memory_mb: self.rng.random_range(100..5_000),
                accelerators: 0,
            },
            run_ms: self.rng.random_range(100..25_000),
            urgent: self.rng.random_bool(0.2),
            zones: Vec::new(),
        };
        let cell = CellNumber::new(self.rng.random_range(0..super::CELLS));
        let tries = JobTries {
            cell,
            order,
            fates: Vec::new(),
        };
        self.ledger.jobs.insert(job.clone(), tries);
        job
    }

    /// A daemon that believes that it owns the cell.
    fn any_owner(&mut self, cell: CellNumber) -> Option<(ProcessMark, &mut OpenSeat)> {
        let first = self.rng.random_range(0..self.daemons.len());
        let now = self.now;
        let (early, late) = self.daemons.split_at_mut(first);
        late.iter_mut()
            .chain(early)
            .filter(|daemon| daemon.alive && daemon.frozen_until <= now)
            .find_map(|daemon| {
                let mark = daemon.mark;
                let seat = daemon.seats.get_mut(&cell)?.open()?;
                (!seat.stopping).then_some((mark, seat))
            })
    }
}
