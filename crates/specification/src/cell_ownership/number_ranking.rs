//! Normalization of growing numbers.
//!
//! Sequence numbers and permits only grow, and the protocol only compares them for order
//! and equality. Replacing each number by its rank makes states equal that differ only in
//! the distances between numbers, and so keeps the search finite.

use std::cell::Cell;

use crate::cell_ownership::journal_entry::JournalEntry;
use crate::cell_ownership::journal_state::JournalState;
use crate::cell_ownership::journal_write::JournalWrite;
use crate::cell_ownership::ownership_state::OwnershipState;
use crate::cell_ownership::task_phase::TaskPhase;
use crate::cell_ownership::worker_message::WorkerMessage;

impl OwnershipState {
    /// Replaces every sequence number, and every permit of each worker, by its rank. 0 stays
    /// 0, since it stands for "none".
    pub(crate) fn rank_numbers(&mut self) {
        let seen = Cell::new(0_u64);
        self.map_sequences(&|number| mark_seen(&seen, number));
        let mask = seen.get();
        self.map_sequences(&|number| rank_in(mask, number));
        for worker in 0..self.workers.len() {
            let seen = Cell::new(0_u64);
            self.map_permits(worker, &|permit| mark_seen(&seen, permit));
            let mask = seen.get();
            self.map_permits(worker, &|permit| rank_in(mask, permit));
        }
    }

    fn map_sequences(&mut self, map: &impl Fn(u8) -> u8) {
        map_journal(&mut self.journal, map);
        for daemon in &mut self.daemons {
            map_journal(&mut daemon.view, map);
            daemon.unresolved_submission = map(daemon.unresolved_submission);
            daemon.pending = daemon.pending.map(|write| map_write(write, map));
        }
        self.writes.map_values(|write| map_write(write, map));
        for worker in &mut self.workers {
            worker.epoch = map(worker.epoch);
        }
        self.messages.map_values(|message| map_epoch(message, map));
    }

    fn map_permits(&mut self, worker: usize, map: &impl Fn(u8) -> u8) {
        map_task(&mut self.journal, worker, map);
        for daemon in &mut self.daemons {
            map_task(&mut daemon.view, worker, map);
            daemon.permits[worker] = map(daemon.permits[worker]);
            daemon.pending = daemon
                .pending
                .map(|write| map_assigned_permit(write, worker, map));
        }
        self.writes
            .map_values(|write| map_assigned_permit(write, worker, map));
        self.workers[worker].permit = map(self.workers[worker].permit);
        self.messages
            .map_values(|message| map_permit(message, worker, map));
    }
}

fn mark_seen(seen: &Cell<u64>, number: u8) -> u8 {
    seen.set(seen.get() | (1 << number));
    number
}

fn rank_in(mask: u64, number: u8) -> u8 {
    let lower = mask & !1 & ((1 << number) - 1);
    let rank = u8::try_from(lower.count_ones()).expect("a mask of 64 bits has at most 64 ones");
    if number == 0 { 0 } else { rank + 1 }
}

fn map_journal(journal: &mut JournalState, map: &impl Fn(u8) -> u8) {
    journal.next_sequence = map(journal.next_sequence);
    journal.snapshot_sequence = map(journal.snapshot_sequence);
    journal.epoch = map(journal.epoch);
}

fn map_write(write: JournalWrite, map: &impl Fn(u8) -> u8) -> JournalWrite {
    JournalWrite {
        sequence: map(write.sequence),
        ..write
    }
}

fn map_epoch(mut message: WorkerMessage, map: &impl Fn(u8) -> u8) -> WorkerMessage {
    match &mut message {
        WorkerMessage::Renewal { epoch, .. }
        | WorkerMessage::Report { epoch, .. }
        | WorkerMessage::Start { epoch, .. }
        | WorkerMessage::Stop { epoch, .. } => *epoch = map(*epoch),
    }
    message
}

fn map_task(journal: &mut JournalState, worker: usize, map: &impl Fn(u8) -> u8) {
    let task = &mut journal.task;
    if task.phase == TaskPhase::Assigned && usize::from(task.worker) == worker {
        task.permit = map(task.permit);
    }
}

fn map_assigned_permit(
    mut write: JournalWrite,
    worker_index: usize,
    map: &impl Fn(u8) -> u8,
) -> JournalWrite {
    if let JournalEntry::Assign { worker, permit } = &mut write.entry
        && usize::from(*worker) == worker_index
    {
        *permit = map(*permit);
    }
    write
}

fn map_permit(mut message: WorkerMessage, worker: usize, map: &impl Fn(u8) -> u8) -> WorkerMessage {
    if usize::from(message.worker()) != worker {
        return message;
    }
    if let WorkerMessage::Report { permit, .. } | WorkerMessage::Start { permit, .. } = &mut message
    {
        *permit = map(*permit);
    }
    message
}
