//! The lag of the list of VMs.

use test_case::test_case;

use sapphirestile_core::MonoTime;
use sapphirestile_standins::vms::VmListState;
use sapphirestile_wire::vms::VmRecord;

fn records(name: &str) -> Vec<VmRecord> {
    let text = format!(
        r#"[{{"name":"{name}","kind":"entry","address":"127.0.0.1:1","zone":"z","state":"live"}}]"#
    );
    serde_json::from_str(&text).unwrap()
}

#[test_case(100, 0, "old"; "the first list at once")]
#[test_case(2_000, 0, "new"; "without lag")]
#[test_case(2_000, 999, "new"; "lag over")]
#[test_case(2_000, 1_000, "new"; "lag just over")]
#[test_case(2_000, 1_001, "old"; "within the lag")]
#[test_case(2_000, 9_999, "old"; "lag longer than the history")]
fn the_list_lags(now: u64, lag_ms: u64, name: &str) {
    let mut state = VmListState::new();
    state.replace(MonoTime::from_millis(100), records("old"));
    if now >= 1_000 {
        state.replace(MonoTime::from_millis(1_000), records("new"));
    }
    assert_eq!(
        state.list(MonoTime::from_millis(now), lag_ms),
        records(name)
    );
}
