//! The output of `--check` for a settings file with faults.

use std::path::Path;
use std::process::Command;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const FAULTY: &str = "\
[daemon]
name = hki-1
zone = rannikko-hki
region = rannikko
callers = 10.0.1.4:8080
operators = 10.0.1.4:7070
peers = 10.0.1.4:7071
[platform]
store = 10.0.0.2
vms = 10.0.0.3:8000
[peers]
key = short
[operators]
token = 0123456789abcdef
";

#[test]
fn every_fault_is_listed_and_nothing_else() {
    let path = Path::new(FOLDER).join("check_settings.ini");
    std::fs::write(&path, FAULTY).unwrap();
    let output = Command::new(DAEMON)
        .arg("--check")
        .arg(&path)
        .env("RUST_BACKTRACE", "1")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(String::from_utf8(output.stdout).unwrap(), "");
    let shown = String::from_utf8(output.stderr).unwrap();
    let shown: Vec<&str> = shown.lines().collect();
    let first = format!("read settings at {}", path.display());
    assert_eq!(
        shown,
        [
            first.as_str(),
            "│",
            "╰─▶ 2 faults in the settings",
            "      [platform] store = \"10.0.0.2\": expected an IP number and a port",
            "      [peers] key = \"(not shown)\": expected a secret of 16 to 256 bytes, the same for every daemon",
        ]
    );
}
