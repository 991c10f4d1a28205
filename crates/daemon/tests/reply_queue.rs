//! The replies to calls that wait for a journal entry while the cell may move.

use crossbeam::channel::Receiver;
use crossbeam::channel::bounded;
use sapphirestile_core::JournalSequence;
use sapphirestile_daemon::cells::PendingReply;
use sapphirestile_daemon::cells::ReplyQueue;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerFault;

fn wait(queue: &mut ReplyQueue, sequence: u64, own_change: bool) -> Receiver<PeerAnswer> {
    let (reply, answers) = bounded(1);
    queue.push(PendingReply {
        sequence: JournalSequence::new(sequence),
        own_change,
        answer: PeerAnswer::Pong,
        reply,
    });
    answers
}

fn is_not_run(answers: &Receiver<PeerAnswer>) -> bool {
    let answer = answers.try_recv().unwrap();
    matches!(answer, PeerAnswer::Fault(PeerFault::NotRun(_)))
}

#[test]
fn answers_are_sent_once_their_entry_is_written() {
    let mut queue = ReplyQueue::default();
    let (first, second) = (wait(&mut queue, 4, true), wait(&mut queue, 5, true));
    queue.send_committed(JournalSequence::new(4));
    assert_eq!(first.try_recv(), Ok(PeerAnswer::Pong));
    assert!(second.try_recv().is_err());
}

#[test]
fn only_entries_never_sent_to_the_store_are_not_run() {
    let mut queue = ReplyQueue::default();
    let (in_flight, pending) = (wait(&mut queue, 4, true), wait(&mut queue, 5, true));
    queue.fail_all(Some(JournalSequence::new(4)));
    assert!(!is_not_run(&in_flight));
    assert!(is_not_run(&pending));
}

#[test]
fn an_entry_beaten_by_another_write_is_not_run() {
    let mut queue = ReplyQueue::default();
    let rejected = wait(&mut queue, 4, true);
    queue.fail_all(None);
    assert!(is_not_run(&rejected));
}

#[test]
fn a_resubmitted_job_is_never_reported_as_not_run() {
    let mut queue = ReplyQueue::default();
    let repeated = wait(&mut queue, 5, false);
    queue.fail_all(None);
    assert!(!is_not_run(&repeated));
}

#[test]
fn changes_that_join_a_conflicting_batch_wait_for_its_entry() {
    let mut queue = ReplyQueue::default();
    let joined = wait(&mut queue, 5, true);
    // The commit of entry 4 was rejected because the configuration changed. The entry that
    // takes its sequence number also contains the changes proposed since then.
    queue.limit_sequence(JournalSequence::new(4));
    queue.fail_all(Some(JournalSequence::new(4)));
    assert!(!is_not_run(&joined));

    let committed = wait(&mut queue, 5, true);
    queue.limit_sequence(JournalSequence::new(4));
    queue.send_committed(JournalSequence::new(4));
    assert_eq!(committed.try_recv(), Ok(PeerAnswer::Pong));
}
