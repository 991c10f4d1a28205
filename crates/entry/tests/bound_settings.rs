//! The time limits in the settings of a daemon.

use sapphirestile_entry::EntrySettings;

const SETTINGS: &str = "\
[node]
name = entry-1
zone = near-a
[ports]
callers = 127.0.0.1:1
ready = 127.0.0.1:2
[targets]
store = 127.0.0.1:4
[bounds]
lease_max_ms = 6000
remember_s = 120
grace_s = 6
";

fn read(line: &str) -> Result<EntrySettings, String> {
    let text = format!("{SETTINGS}{line}\n");
    let settings = EntrySettings::try_from(text.as_str());
    settings.map_err(|error| error.faults[0].to_string())
}

fn allows_copies(line: &str) -> bool {
    read(line).unwrap().bounds.allows_copies()
}

#[test]
fn a_configuration_that_is_due_before_its_copy_can_arrive_takes_no_way_by_a_copy() {
    assert!(!allows_copies(""));
    assert!(!allows_copies("config_apply_ms = "));
    assert!(!allows_copies("config_apply_ms = 2500"));
    assert!(!allows_copies("config_apply_ms = 3999"));
    assert!(allows_copies("config_apply_ms = 4000"));
}

#[test]
fn a_malformed_time_for_a_configuration_is_a_fault() {
    for value in ["0", "99", "600001", "soon", "-4000"] {
        let fault = read(&format!("config_apply_ms = {value}")).unwrap_err();
        let expected = format!(
            "[bounds] config_apply_ms = \"{value}\": expected milliseconds from 100 to 600000"
        );
        assert_eq!(fault, expected);
    }
}
