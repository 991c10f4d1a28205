//! Tests of entity tags and compression of the list of VMs.

use std::io::Write;
use std::time::Duration;

use flate2::Compression;
use flate2::write::GzEncoder;
use sapphirestile_clients::http::PeerAddress;
use sapphirestile_clients::vms::ListTag;
use sapphirestile_clients::vms::ListUpdate;
use sapphirestile_clients::vms::VM_LIST_MAX_BYTES;
use sapphirestile_clients::vms::VmClient;
use sapphirestile_clients::vms::VmError;
use sapphirestile_standins::vms::VmListFaults;
use sapphirestile_standins::vms::VmListStandin;
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

fn start(faults: VmListFaults) -> (VmListStandin, VmClient) {
    let standin = VmListStandin::start(([127, 0, 0, 1], 0).into(), faults).unwrap();
    let peer = PeerAddress::try_from(standin.address()).unwrap();
    (standin, VmClient::new(peer, TIMEOUT))
}

fn full(listing: ListUpdate) -> (Vec<VmRecord>, Option<ListTag>) {
    match listing {
        ListUpdate::Full { records, tag } => (records, tag),
        ListUpdate::Unchanged => panic!("expected the complete list, got no change"),
    }
}

fn gzip(body: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::best());
    encoder.write_all(body).unwrap();
    encoder.finish().unwrap()
}

fn response(head: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{head}content-length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn read_once(bytes: Vec<u8>) -> Result<ListUpdate, VmError> {
    let peer = ScriptedPeer::start(vec![vec![PeerScript::RespondAndClose(bytes)]]);
    let listing = VmClient::new(peer.address(), TIMEOUT).read(None);
    listing.map_err(|report| *report.current_context())
}

#[test]
fn an_unchanged_list_is_not_sent_again() {
    let (standin, client) = start(VmListFaults::default());
    standin.service().replace(records(&["vm-1"]));
    let (first, tag) = full(client.read(None).unwrap());
    assert_eq!(first, records(&["vm-1"]));
    let sent = standin.service().counts().bytes;
    assert_eq!(client.read(tag.as_ref()).unwrap(), ListUpdate::Unchanged);
    let counts = standin.service().counts();
    assert_eq!((counts.unchanged, counts.bytes), (1, sent));
    standin.service().replace(records(&["vm-1", "vm-2"]));
    let (second, _) = full(client.read(tag.as_ref()).unwrap());
    assert_eq!(second, records(&["vm-1", "vm-2"]));
}

#[test]
fn a_list_older_than_the_last_one_is_returned() {
    let (standin, client) = start(VmListFaults::default());
    standin.service().replace(records(&["vm-1"]));
    let (_, old) = full(client.read(None).unwrap());
    standin.service().replace(records(&["vm-2"]));
    let (_, new) = full(client.read(old.as_ref()).unwrap());
    let lag_ms = 500_000;
    let lagging = VmListFaults {
        lag_ms,
        ..VmListFaults::default()
    };
    standin.service().set_faults(lagging);
    let (again, tag) = full(client.read(new.as_ref()).unwrap());
    assert_eq!(again, records(&["vm-1"]));
    assert_eq!(tag, old);
}

#[test]
fn long_lists_are_compressed() {
    let (standin, client) = start(VmListFaults::default());
    let names: Vec<String> = (0..1_000)
        .map(|index| format!("worker-{index:05}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let records = records(&names);
    let plain = serde_json::to_vec(&records).unwrap().len() as u64;
    standin.service().replace(records.clone());
    assert_eq!(client.list().unwrap(), records);
    let bytes = standin.service().counts().bytes;
    assert!(
        bytes < plain / 5,
        "{bytes} bytes sent, {plain} bytes uncompressed"
    );
}

#[test]
fn a_platform_without_tags_and_compression_sends_the_complete_list() {
    let plain = VmListFaults {
        plain: true,
        ..VmListFaults::default()
    };
    let (standin, client) = start(plain);
    standin.service().replace(records(&["vm-1"]));
    for _ in 0..2 {
        let (list, tag) = full(client.read(None).unwrap());
        assert_eq!((list, tag), (records(&["vm-1"]), None));
    }
}

#[test]
fn the_size_of_a_decompressed_list_is_limited() {
    let mut body = b"[]".to_vec();
    body.resize(VM_LIST_MAX_BYTES, b' ');
    let head = "HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\n";
    let listing = read_once(response(head, &gzip(&body))).unwrap();
    assert_eq!(full(listing), (Vec::new(), None));
    body.push(b' ');
    let error = read_once(response(head, &gzip(&body))).unwrap_err();
    assert_eq!(error, VmError::InvalidResponse);
}

#[test_case("gzip", 4; "truncated")]
#[test_case("br", 0; "unknown coding")]
#[test_case("gzip, gzip", 0; "compressed twice")]
fn a_body_that_cannot_be_decompressed_is_rejected(coding: &str, cut: usize) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-encoding: {coding}\r\n");
    let body = gzip(b"[]");
    let error = read_once(response(&head, &body[..body.len() - cut])).unwrap_err();
    assert_eq!(error, VmError::InvalidResponse);
}

#[test]
fn not_modified_without_a_known_list_is_no_response() {
    let error = read_once(response("HTTP/1.1 304 Not Modified\r\n", b"")).unwrap_err();
    assert_eq!(error, VmError::NoResponse);
}
