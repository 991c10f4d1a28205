//! The log of refused requests under concurrent reads.

use sapphirestile_core::MonoTime;
use sapphirestile_daemon::callers::CallerReply;
use sapphirestile_daemon::context::RefusalLog;

const RECORDED: u64 = 2_000;
const KEPT: u64 = 64;
const DUMPS: usize = 2_000;

/// Dumps that read the log while requests are refused remove no record: the latest ones
/// are kept.
#[test]
fn concurrent_dumps_remove_no_refusals() {
    let log = RefusalLog::default();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for millis in 1..=RECORDED {
                let refusal = CallerReply::Unknown.into_response().unwrap_err();
                log.record(MonoTime::from_millis(millis), "/sizing/fit", refusal);
            }
        });
        for _ in 0..DUMPS {
            assert!(times_of(&log).is_sorted());
        }
    });
    assert_eq!(
        times_of(&log),
        (RECORDED - KEPT + 1..=RECORDED).collect::<Vec<_>>()
    );
}

fn times_of(log: &RefusalLog) -> Vec<u64> {
    log.records()
        .iter()
        .map(|record| record.at.as_millis())
        .collect()
}
