//! Reads of the list of VMs that need not be sent again, or is compressed.

use std::io::Write;
use std::time::Duration;

use flate2::Compression;
use flate2::write::GzEncoder;
use sapphirestile_clients::http::PeerAddress;
use sapphirestile_clients::vms::ListTag;
use sapphirestile_clients::vms::VM_LIST_MAX_BYTES;
use sapphirestile_clients::vms::VmClient;
use sapphirestile_clients::vms::VmError;
use sapphirestile_clients::vms::VmListing;
use sapphirestile_standins::vms::VmFaults;
use sapphirestile_standins::vms::VmStandin;
use sapphirestile_wire::vms::VmRecord;
use test_case::test_case;

use crate::peer_script::PeerScript;
use crate::scripted_peer::ScriptedPeer;

const TIMEOUT: Duration = Duration::from_secs(20);

fn records(names: &[&str]) -> Vec<VmRecord> {
    let rows = names.iter().map(|name| {
        format!(
            r#"{{"name":"{name}","kind":"entry","address":"127.0.0.1:1","zone":"z","state":"live"}}"#
        )
    });
    let rows: Vec<String> = rows.collect();
    serde_json::from_str(&format!("[{}]", rows.join(","))).unwrap()
}

fn served(faults: VmFaults) -> (VmStandin, VmClient) {
    let standin = VmStandin::start(([127, 0, 0, 1], 0).into(), faults).unwrap();
    let peer = PeerAddress::try_from(standin.address()).unwrap();
    (standin, VmClient::new(peer, TIMEOUT))
}

fn whole(listing: VmListing) -> (Vec<VmRecord>, Option<ListTag>) {
    match listing {
        VmListing::Whole { records, tag } => (records, tag),
        VmListing::Unchanged => panic!("the whole list was expected"),
    }
}

fn zipped(body: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::best());
    encoder.write_all(body).unwrap();
    encoder.finish().unwrap()
}

fn answer(head: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{head}content-length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn read_once(bytes: Vec<u8>) -> Result<VmListing, VmError> {
    let peer = ScriptedPeer::start(vec![vec![PeerScript::AnswerAndClose(bytes)]]);
    let listing = VmClient::new(peer.address(), TIMEOUT).read(None);
    listing.map_err(|report| *report.current_context())
}

#[test]
fn a_list_that_did_not_change_is_not_sent_again() {
    let (standin, client) = served(VmFaults::default());
    standin.service().replace(records(&["vm-1"]));
    let (first, tag) = whole(client.read(None).unwrap());
    assert_eq!(first, records(&["vm-1"]));
    let sent = standin.service().counts().bytes;
    assert_eq!(client.read(tag.as_ref()).unwrap(), VmListing::Unchanged);
    let counts = standin.service().counts();
    assert_eq!((counts.unchanged, counts.bytes), (1, sent));
    standin.service().replace(records(&["vm-1", "vm-2"]));
    let (second, _) = whole(client.read(tag.as_ref()).unwrap());
    assert_eq!(second, records(&["vm-1", "vm-2"]));
}

#[test]
fn a_list_served_older_than_the_one_before_is_taken_as_it_is() {
    let (standin, client) = served(VmFaults::default());
    standin.service().replace(records(&["vm-1"]));
    let (_, old) = whole(client.read(None).unwrap());
    standin.service().replace(records(&["vm-2"]));
    let (_, new) = whole(client.read(old.as_ref()).unwrap());
    let lag_ms = 500_000;
    let lagging = VmFaults {
        lag_ms,
        ..VmFaults::default()
    };
    standin.service().set_faults(lagging);
    let (again, tag) = whole(client.read(new.as_ref()).unwrap());
    assert_eq!(again, records(&["vm-1"]));
    assert_eq!(tag, old);
}

#[test]
fn many_rows_are_sent_compressed() {
    let (standin, client) = served(VmFaults::default());
    let names: Vec<String> = (0..1_000)
        .map(|place| format!("worker-{place:05}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let records = records(&names);
    let plain = serde_json::to_vec(&records).unwrap().len() as u64;
    standin.service().replace(records.clone());
    assert_eq!(client.list().unwrap(), records);
    let bytes = standin.service().counts().bytes;
    assert!(bytes < plain / 5, "{bytes} of {plain}");
}

#[test]
fn a_platform_without_tags_and_compression_serves_the_whole_list() {
    let plain = VmFaults {
        plain: true,
        ..VmFaults::default()
    };
    let (standin, client) = served(plain);
    standin.service().replace(records(&["vm-1"]));
    for _ in 0..2 {
        let (list, tag) = whole(client.read(None).unwrap());
        assert_eq!((list, tag), (records(&["vm-1"]), None));
    }
}

#[test]
fn a_compressed_list_is_unpacked_up_to_its_bound() {
    let mut body = b"[]".to_vec();
    body.resize(VM_LIST_MAX_BYTES, b' ');
    let head = "HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\n";
    let listing = read_once(answer(head, &zipped(&body))).unwrap();
    assert_eq!(whole(listing), (Vec::new(), None));
    body.push(b' ');
    let fault = read_once(answer(head, &zipped(&body))).unwrap_err();
    assert_eq!(fault, VmError::BadAnswer);
}

#[test_case("gzip", 4; "cut short")]
#[test_case("br", 0; "another coding")]
#[test_case("gzip, gzip", 0; "coded twice")]
fn a_body_that_cannot_be_unpacked_is_no_list(coding: &str, cut: usize) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-encoding: {coding}\r\n");
    let body = zipped(b"[]");
    let fault = read_once(answer(&head, &body[..body.len() - cut])).unwrap_err();
    assert_eq!(fault, VmError::BadAnswer);
}

#[test]
fn unchanged_is_no_answer_to_who_knows_no_list() {
    let fault = read_once(answer("HTTP/1.1 304 Not Modified\r\n", b"")).unwrap_err();
    assert_eq!(fault, VmError::NoAnswer);
}
