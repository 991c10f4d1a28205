//! The latest requests that were not answered.

use sapphirestile_core::MonoTime;
use sapphirestile_daemon::callers::CallerReply;
use sapphirestile_daemon::context::RefusalLog;

const NOTED: u64 = 2_000;
const KEPT: u64 = 64;
const DUMPS: usize = 2_000;

/// Dumps that are made while requests are refused take no note away, and the
/// latest ones are kept.
#[test]
fn the_latest_refusals_outlast_dumps_beside_them() {
    let log = RefusalLog::default();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for millis in 1..=NOTED {
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
        (NOTED - KEPT + 1..=NOTED).collect::<Vec<_>>()
    );
}

fn times_of(log: &RefusalLog) -> Vec<u64> {
    log.notes().iter().map(|note| note.at.as_millis()).collect()
}
