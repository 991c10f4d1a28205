//! When a daemon relies on copies of the operators' document.

use sapphirestile_core::MonoTime;
use sapphirestile_entry::DocumentReport;
use sapphirestile_entry::ReadingPolicy;

/// The interval between two reads of the reports, in milliseconds.
const READ_INTERVAL_MS: u64 = 400;

/// The changes of the store between two reads.
const CHANGES: u64 = 100;

/// Plays reads of the reports of owners, `behind(n)` of which give how many reads each of
/// them is behind at read `n`. Returns what the policy says after each read.
fn play(reads: u64, behind: impl Fn(u64) -> Vec<u64>) -> Vec<bool> {
    let mut policy = ReadingPolicy::default();
    let results = (0..reads).map(|read| {
        let revision = 1_000 + read * CHANGES;
        let reports: Vec<(u64, DocumentReport)> = (0..)
            .zip(behind(read))
            .map(|(daemon, reads)| {
                let followed = revision - reads * CHANGES;
                (
                    daemon,
                    DocumentReport {
                        copied: 7,
                        followed,
                    },
                )
            })
            .collect();
        let now = MonoTime::from_millis(10_000 + read * READ_INTERVAL_MS);
        policy.observe(&reports, revision, now) == Some(7)
    });
    results.collect()
}

#[test]
fn four_owners_that_follow_are_relied_on_and_three_are_not() {
    assert_eq!(play(20, |_| vec![2; 4]).last(), Some(&true));
    assert_eq!(play(20, |_| vec![2; 3]).last(), Some(&false));
}

#[test]
fn owners_that_no_longer_follow_are_not_relied_on() {
    let stopped = |read: u64| vec![read.saturating_sub(20); 9];
    let relied = play(40, stopped);
    assert!(relied[20]);
    assert!(!relied[29], "3.6 s behind the store");
}

#[test]
fn losing_some_owners_does_not_make_every_daemon_read_the_document() {
    let lost = |read: u64| vec![0; if read < 20 { 4 } else { 2 }];
    assert_eq!(play(40, lost).last(), Some(&true));
    let lost = |read: u64| vec![0; if read < 20 { 4 } else { 1 }];
    assert_eq!(play(40, lost).last(), Some(&false));
}

#[test]
fn several_cells_of_one_daemon_count_once() {
    let mut policy = ReadingPolicy::default();
    let report = DocumentReport {
        copied: 7,
        followed: 100,
    };
    let reports = [(1, report); 9];
    for read in 0..20 {
        let now = MonoTime::from_millis(read * READ_INTERVAL_MS);
        assert_eq!(policy.observe(&reports, 100, now), None);
    }
}

#[test]
fn owners_that_have_copied_nothing_are_not_relied_on() {
    let mut policy = ReadingPolicy::default();
    let report = DocumentReport {
        copied: 0,
        followed: 100,
    };
    let reports = [1, 2, 3, 4, 5].map(|daemon| (daemon, report));
    for read in 0..20 {
        let now = MonoTime::from_millis(read * READ_INTERVAL_MS);
        assert_eq!(policy.observe(&reports, 100, now), None);
    }
}
