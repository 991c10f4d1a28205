//! Reading the settings of a daemon.

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use test_case::test_case;

use sapphirestile_daemon::settings::DaemonSettings;

const PROPERTY_SEED: u64 = 0x5e77;
const TEXT: &str = "\
[daemon]
name = hki-1
zone = rannikko-hki
region = rannikko
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:7071

[platform]
store = 127.0.0.1:2379
vms = [::1]:8000

[peers]
seeds = 127.0.0.2:7071, 127.0.0.3:7071
key = 0123456789abcdef

[operators]
token = fedcba9876543210

[limits]
suspect_ms = 3000
";

#[test]
fn reads_every_section() {
    let settings = DaemonSettings::try_from(TEXT).unwrap();
    assert_eq!(settings.node.peers.to_string(), "127.0.0.1:7071");
    assert_eq!(settings.platform.vms.to_string(), "[::1]:8000");
    assert_eq!(settings.peering.seeds.len(), 2);
    assert_eq!(settings.limits.suspect_ms, 3_000);
    assert_eq!(settings.limits.caller_body_bytes, 1_048_576);
    assert_eq!(settings.limits.body_max_ms, 60_000);
    assert!(settings.operators.token.matches("fedcba9876543210"));
}

#[test]
fn debug_output_shows_no_secret() {
    let settings = DaemonSettings::try_from(TEXT).unwrap();
    let shown = format!("{settings:?}");
    assert!(!shown.contains("0123456789abcdef") && !shown.contains("fedcba9876543210"));
}

#[test_case("127.0.0.1:2379", "store.example:2379", "[platform] store = \"store.example:2379\": expected an IP number and a port"; "a name for a number")]
#[test_case("127.0.0.1:2379", "127.0.0.1:0", "[platform] store = \"127.0.0.1:0\": expected an IP number and a port"; "no port of the store")]
#[test_case("peers = 127.0.0.1:7071", "peers = 0.0.0.0:7071", "[daemon] peers = \"0.0.0.0:7071\": expected an IP number that other daemons can reach, not 0.0.0.0 or ::"; "peers on every address")]
#[test_case("callers = 127.0.0.1:0", "callers = 127.0.0.1:7071", "[daemon] peers = \"127.0.0.1:7071\": expected an address of its own for each of callers, operators and peers"; "one port for two")]
#[test_case("127.0.0.3:7071", "", "[peers] seeds = \"\": expected IP numbers with ports, with commas between them, or nothing"; "a comma too many")]
#[test_case("127.0.0.3:7071", "127.0.0.2:7071", "[peers] seeds = \"127.0.0.2:7071\": expected each seed once"; "a seed twice")]
#[test_case("key = 0123456789abcdef", "key = short", "[peers] key = \"(not shown)\": expected a secret of 16 to 256 bytes, the same for every daemon"; "a short key")]
#[test_case("token =", "tokn =", "[operators] tokn = \"(not shown)\": expected one of the keys token"; "a misspelled token")]
#[test_case("token = fedcba9876543210", "token = \"fedcba9876543210\"", "line 18 \"token\": expected a comment, a [section] or `key = value`, without quotes, backslashes or control characters"; "a token in quotes")]
#[test_case("suspect_ms = 3000", "suspect_ms = 499", "[limits] suspect_ms = \"499\": expected at least twice heartbeat_ms"; "suspicion before two heartbeats")]
#[test_case("suspect_ms = 3000", "slowdown_ms = 99", "[limits] slowdown_ms = \"99\": expected milliseconds from 100 to 60000"; "measurements in too quick a row")]
#[test_case("suspect_ms = 3000", "drain_max_ms = 9", "[limits] drain_max_ms = \"9\": expected at least request_max_ms, so that a stop cuts off no request"; "a stop before the longest request")]
#[test_case("suspect_ms = 3000", "suspect = 3000", "[limits] suspect = \"3000\": expected one of the keys caller_body_bytes, body_max_ms, store_timeout_ms, heartbeat_ms, suspect_ms, slowdown_ms, lease_ms, request_max_ms, drain_max_ms"; "an unknown key")]
#[test_case("suspect_ms = 3000", "body_max_ms = 99", "[limits] body_max_ms = \"99\": expected milliseconds from 100 to 3600000"; "no time for a body")]
#[test_case("[limits]", "[limit]", "[limit]: expected one of the sections daemon, platform, peers, operators, limits"; "an unknown section")]
#[test_case("[limits]", "[daemon]", "[daemon]: expected each section once"; "a section twice")]
#[test_case("name = hki-1\n", "", "[daemon] name = \"\": expected the name of the daemon"; "no name")]
#[test_case("name = hki-1", "name = HKI", "[daemon] name = \"HKI\": expected the name of the daemon (\"HKI\" is not a DaemonName: use 1 to 63 of a-z, 0-9, '-' and '.', beginning with a letter or a digit)"; "an invalid name")]
fn names_the_fault(old: &str, new: &str, expected: &str) {
    let fault = DaemonSettings::try_from(TEXT.replacen(old, new, 1).as_str()).unwrap_err();
    let lines = fault.faults.iter().map(ToString::to_string);
    assert!(lines.into_iter().any(|line| line == expected), "{fault}");
    assert!(!fault.to_string().contains("fedcba9876543210"), "{fault}");
}

#[test]
fn names_every_missing_key_at_once() {
    let fault = DaemonSettings::try_from("").unwrap_err();
    let places = fault
        .faults
        .iter()
        .map(|fault| format!("{}/{}", fault.section, fault.key));
    assert_eq!(
        places.collect::<Vec<_>>(),
        [
            "daemon/name",
            "daemon/zone",
            "daemon/region",
            "daemon/callers",
            "daemon/operators",
            "daemon/peers",
            "platform/store",
            "platform/vms",
            "peers/key",
            "operators/token",
        ]
    );
}

fn altered_text() -> impl Strategy<Value = String> {
    (0..TEXT.len(), 0..12_usize, ".{0,6}").prop_map(|(start, length, patch)| {
        let end = TEXT.len().min(start + length);
        format!("{}{patch}{}", &TEXT[..start], &TEXT[end..])
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(PROPERTY_SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_text_makes_the_reader_panic(text in ".{0,200}") {
        let _ = DaemonSettings::try_from(text.as_str());
    }

    #[test]
    fn an_altered_text_is_read_or_refused_with_a_reason(text in altered_text()) {
        if let Err(fault) = DaemonSettings::try_from(text.as_str()) {
            prop_assert!(!fault.faults.is_empty());
            prop_assert!(fault.faults.iter().all(|fault| !fault.expected.is_empty()));
        }
    }
}
