//! The log of the latest refused requests.

use sapphirestile_core::MonoTime;
use sapphirestile_daemon::callers::CallerReply;
use sapphirestile_daemon::context::RefusalLog;

const ADDED: u64 = 2_000;
const ENTRIES_MAX: u64 = 64;
const DUMPS: usize = 2_000;

/// Dumps that read the log while requests are refused remove no entries, and the latest
/// entries are kept.
#[test]
fn concurrent_dumps_do_not_remove_refusals() {
    let log = RefusalLog::default();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for millis in 1..=ADDED {
                let refusal = CallerReply::Unknown.into_response().unwrap_err();
                log.note(MonoTime::from_millis(millis), "/sizing/fit", refusal);
            }
        });
        for _ in 0..DUMPS {
            assert!(times_of(&log).is_sorted());
        }
    });
    assert_eq!(
        times_of(&log),
        (ADDED - ENTRIES_MAX + 1..=ADDED).collect::<Vec<_>>()
    );
}

fn times_of(log: &RefusalLog) -> Vec<u64> {
    log.notes().iter().map(|note| note.at.as_millis()).collect()
}
