//! Tests of the operators' document: validation, rendering, edits and differences.

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use test_case::test_case;

use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::DocumentDifference;
use sapphirestile_core::DocumentEdit;
use sapphirestile_core::INI_BYTES_MAX;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ServiceEntry;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_core::ZoneState;

const PROPERTY_SEED: u64 = 0x5a17;
const DOCUMENT_TEXT: &str = "\
; the coast
[region rannikko]
link_mbit = 4

[region pohjois-suomi]
link_mbit = 2

# storm plan: take these out first
[zone rannikko-hki]
region = rannikko
state = in

[service koon-mitoitus]
slots = 8
connections = 64

[customer tailors]
cpu_milli = 64000
memory_mb = 250000
; reviewed in May
";

#[test_case("[cells]\ncount = 0\n", "[cells] count = \"0\": expected a number of cells from 1 to 1024"; "zero cells")]
#[test_case("[cells]\ncount = 65536\n", "[cells] count = \"65536\": expected a number of cells from 1 to 1024"; "too many cells")]
#[test_case("[colocation]\nthrottle = often\n", "[colocation] throttle = \"often\": expected true or false"; "throttle that is not a boolean")]
#[test_case("[colocation]\nhigh_permille = 10001\n", "[colocation] high_permille = \"10001\": expected thousandths from 1 to 10000"; "a threshold above the maximum")]
#[test_case("[colocation]\nlow_permille = 250\n", "[colocation] low_permille = \"250\": expected less than high_permille"; "equal thresholds")]
#[test_case("[colocation]\nnoise = 1\n", "[colocation] noise = \"1\": expected one of the keys throttle, high_permille, low_permille"; "an unknown key in colocation")]
#[test_case("[colocation]\n[colocation]\n", "[colocation]: expected each section once"; "a duplicate colocation section")]
#[test_case("[region r]\nlink_mbit = 0\n", "[region r] link_mbit = \"0\": expected megabits a second from 1 to 100000"; "zero link bandwidth")]
#[test_case("[region r]\nlink_mbit = 1\n[region r]\nlink_mbit = 2\n", "[region r]: expected each section once"; "a duplicate region")]
#[test_case("[region r]\nlink_mbit = 1\nlink_mbit = 2\n", "[region r] link_mbit = \"2\": expected each key once in a section"; "a duplicate key")]
#[test_case("[region R]\nlink_mbit = 1\n", "[region R]: expected a valid name (\"R\" is not a RegionName: use 1 to 63 of a-z, 0-9, '-' and '.', beginning with a letter or a digit)"; "an invalid name")]
#[test_case("[weather]\nwind = 9\n", "[weather]: expected a section [cells], [colocation], [zone NAME], [region NAME], [service NAME] or [customer NAME]"; "an unknown section")]
#[test_case("link_mbit = 1\n", "[]: expected a section [cells], [colocation], [zone NAME], [region NAME], [service NAME] or [customer NAME]"; "a key before the first section")]
#[test_case("[zone a]\nregion = r\nstate = in\n", "[zone a] region = \"r\": expected a region that has a section of its own"; "a zone of an unknown region")]
#[test_case("[region r]\nlink_mbit = 1\n[zone a]\nregion = r\nstate = up\n", "[zone a] state = \"up\": expected in or out (neither in nor out)"; "an unknown zone state")]
#[test_case("[service s]\nslots = 0\nconnections = 64\n", "[service s] slots = \"0\": expected how many requests a runner works on at a time, from 1 to 4096"; "zero slots")]
#[test_case("[service s]\nslots = 8\nconnections = 4\n", "[service s] connections = \"4\": expected at least as many connections as slots"; "fewer connections than slots")]
#[test_case("[service s]\nslots = 8\nconnections = 64\ndeadline_ms = 700000\n", "[service s] deadline_ms = \"700000\": expected milliseconds from 1 to 600000"; "a deadline above the maximum")]
#[test_case("[service s]\nslots = 8\nconnections = 64\nidempotent = yes\n", "[service s] idempotent = \"yes\": expected true or false"; "idempotent that is not a boolean")]
#[test_case("[customer c]\ncpu_milli = 10000000001\nmemory_mb = 1\n", "[customer c] cpu_milli = \"10000000001\": expected thousandths of a core from 0 to 10000000000"; "a quota above the maximum")]
#[test_case("[customer c]\ncpu_milli = 1\nmemory_mb = 1\npriority = 0\n", "[customer c] priority = \"0\": expected a whole number from 1 to 10000"; "zero priority")]
#[test_case("[customer c]\ncpu_milli = 1\nmemory_mb = 1\ncpu = 2\n", "[customer c] cpu = \"2\": expected one of the keys cpu_milli, memory_mb, accelerators, priority"; "an unknown key in customer")]
#[test_case("[customer c]\ncpu_milli = 1\n  memory_mb\n", "line 3 \"memory_mb\": expected a comment, a [section] or `key = value`, without quotes, backslashes or control characters"; "a line without a value")]
fn reports_the_fault_of_an_invalid_document(text: &str, expected: &str) {
    let error = OperatorDocument::try_from(text).unwrap_err();
    let lines = error.faults.iter().map(ToString::to_string);
    assert!(lines.into_iter().any(|line| line == expected), "{error}");
}

#[test]
fn reports_all_faults_at_once() {
    let text =
        "[region r]\nlink_mbit = x\n[zone a]\nregion = r\nstate = up\n[zone B]\nregion = q\n";
    let error = OperatorDocument::try_from(text).unwrap_err();
    let locations = error
        .faults
        .iter()
        .map(|fault| format!("{}/{}", fault.section, fault.key));
    assert_eq!(
        locations.collect::<Vec<_>>(),
        [
            "region r/link_mbit",
            "zone a/state",
            "zone B/state",
            "zone B/"
        ]
    );
}

#[test]
fn rejects_a_text_above_the_size_limit() {
    let text = "#".repeat(INI_BYTES_MAX + 1);
    let error = OperatorDocument::try_from(text.as_str()).unwrap_err();
    assert_eq!(error.faults[0].value, "409601 bytes");
}

#[test]
fn rejects_a_duplicate_cells_section() {
    let error = OperatorDocument::try_from("[cells]\ncount = 1\n[cells]\ncount = 2\n").unwrap_err();
    let message = error.faults[0].to_string();
    assert_eq!(message, "[cells]: expected each section once");
}

#[test]
fn parses_indented_lines_and_comments() {
    let text = "[region r]\r\n  ; half\r\n\tlink_mbit = 2\r\n  # end";
    let document = OperatorDocument::try_from(text).unwrap();
    assert_eq!(
        document.to_string(),
        "[cells]\ncount = 1\n\n[region r]\nlink_mbit = 2\n"
    );
}

#[test]
fn a_rendered_document_parses_to_the_same_document() {
    let document = OperatorDocument::try_from(DOCUMENT_TEXT).unwrap();
    let rendered = document.to_string();
    let expected_start = "[cells]\ncount = 1\n\n[region pohjois-suomi]\n";
    assert!(rendered.starts_with(expected_start), "{rendered}");
    assert_eq!(
        OperatorDocument::try_from(rendered.as_str()),
        Ok(document),
        "{rendered}"
    );
}

#[test]
fn an_edit_keeps_comments_and_order() {
    let zone = ZoneName::try_from("rannikko-hki").unwrap();
    let state = ZoneState::Out;
    let edited = DocumentEdit::SetZone { zone, state }
        .rewrite(DOCUMENT_TEXT)
        .unwrap();
    assert_eq!(edited, DOCUMENT_TEXT.replace("state = in", "state = out"));
    let difference = DocumentDifference::between(DOCUMENT_TEXT, &edited);
    assert_eq!(difference.lines(), ["[zone rannikko-hki] state: in -> out"]);
}

#[test]
fn an_edit_adds_keys_above_the_comment_after_the_section() {
    let customer = CustomerName::try_from("tailors").unwrap();
    let entry = CustomerEntry {
        quota: ResourceSize {
            cpu_milli: 1,
            memory_mb: 2,
            accelerators: 3,
        },
        priority: 4,
    };
    let edit = DocumentEdit::PutCustomer { customer, entry };
    let edited = edit.rewrite(DOCUMENT_TEXT).unwrap();
    assert!(edited.ends_with(
        "[customer tailors]\ncpu_milli = 1\nmemory_mb = 2\naccelerators = 3\npriority = 4\n\
         ; reviewed in May\n"
    ));
}

#[test]
fn an_edit_of_a_missing_section_is_rejected() {
    let service = ServiceName::try_from("entry-desk").unwrap();
    let error = DocumentEdit::RemoveService { service }
        .rewrite(DOCUMENT_TEXT)
        .unwrap_err();
    assert_eq!(
        error.faults[0].to_string(),
        "[service entry-desk]: expected a service that has a section of its own"
    );
}

#[test]
fn an_edit_with_an_invalid_value_is_rejected() {
    let service = ServiceName::try_from("entry-desk").unwrap();
    let entry = ServiceEntry {
        slots: 8,
        connections: 4,
        deadline_ms: 2_000,
        idempotent: true,
    };
    let error = DocumentEdit::PutService { service, entry }
        .rewrite(DOCUMENT_TEXT)
        .unwrap_err();
    assert_eq!(error.faults[0].key, "connections");
}

fn document_line() -> impl Strategy<Value = String> {
    proptest::string::string_regex(
        "(\\[(region|zone|service|customer) [a-c]?\\]|(link_mbit|slots|connections|priority) = \
         [0-9]{1,6}|region = [a-c]|state = (in|out)|(cpu_milli|memory_mb) = [0-9]{1,3}|; .{0,6}|\
         .{0,9})",
    )
    .unwrap()
}

fn document_text() -> impl Strategy<Value = String> {
    proptest::collection::vec(document_line(), 0..24).prop_map(|lines| lines.join("\n"))
}

fn valid_document() -> impl Strategy<Value = OperatorDocument> {
    let region = (1_u16..300).prop_map(|mbit| format!("link_mbit = {mbit}"));
    let colocation = (any::<bool>(), 2_u64..10_001);
    let regions = (
        1_u16..1_025,
        colocation,
        proptest::collection::vec(region, 1..4),
    );
    let zones = proptest::collection::vec((any::<u8>(), any::<bool>()), 0..5);
    let services = proptest::collection::vec((1_u32..4_097, 0_u32..60_000, any::<bool>()), 0..4);
    let customers = proptest::collection::vec((0_u64..1_000_000, 1_u32..10_001), 0..4);
    (regions, zones, services, customers).prop_map(|(regions, zones, services, customers)| {
        let (cells, (throttle, high), regions) = regions;
        let mut lines = vec![format!("[cells]\ncount = {cells}")];
        lines.push(format!("[colocation]\nthrottle = {throttle}"));
        lines.push(format!("high_permille = {high}\nlow_permille = 1"));
        for (index, link) in regions.iter().enumerate().rev() {
            lines.push(format!("[region r{index}]\n{link}"));
        }
        for (index, (region, is_out)) in zones.iter().enumerate() {
            let region = usize::from(*region) % regions.len();
            let state = if *is_out { "out" } else { "in" };
            lines.push(format!(
                "[zone z{index}]\nregion = r{region}\nstate = {state}"
            ));
        }
        for (index, (slots, extra, idempotent)) in services.iter().enumerate() {
            let connections = slots + extra;
            lines.push(format!("[service s{index}]\nslots = {slots}"));
            lines.push(format!(
                "connections = {connections}\nidempotent = {idempotent}"
            ));
        }
        for (index, (quota, priority)) in customers.iter().enumerate() {
            lines.push(format!("[customer c{index}]\ncpu_milli = {quota}"));
            lines.push(format!("memory_mb = {quota}\npriority = {priority}"));
        }
        OperatorDocument::try_from(lines.join("\n").as_str()).unwrap()
    })
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(PROPERTY_SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn parsing_never_panics(text in ".{0,200}") {
        let _ = OperatorDocument::try_from(text.as_str());
    }

    #[test]
    fn every_fault_says_what_was_expected(text in document_text()) {
        if let Err(error) = OperatorDocument::try_from(text.as_str()) {
            prop_assert!(!error.faults.is_empty());
            prop_assert!(error.faults.iter().all(|fault| !fault.expected.is_empty()));
        }
    }

    #[test]
    fn rendering_and_parsing_round_trip(document in valid_document()) {
        let text = document.to_string();
        let again = OperatorDocument::try_from(text.as_str());
        prop_assert_eq!(again.as_ref(), Ok(&document));
        prop_assert_eq!(document.to_string(), text);
    }

    #[test]
    fn an_edit_changes_only_its_own_section(document in valid_document(), out in any::<bool>()) {
        let text = document.to_string();
        let state = if out { ZoneState::Out } else { ZoneState::In };
        if let Some(zone) = document.zones.keys().next() {
            let edit = DocumentEdit::SetZone { zone: zone.clone(), state };
            let mut expected = document.clone();
            expected.zones.get_mut(zone).unwrap().state = state;
            let edited = edit.rewrite(&text).unwrap();
            prop_assert_eq!(OperatorDocument::try_from(edited.as_str()), Ok(expected));
        }
    }
}
