//! Tests of reading the list of VMs.

use std::time::Duration;

use sapphirestile_clients::http::PeerAddress;
use sapphirestile_clients::vms::VmClient;
use sapphirestile_clients::vms::VmError;
use sapphirestile_standins::vms::VmListFaults;
use sapphirestile_standins::vms::VmListStandin;
use sapphirestile_wire::vms::VmRecord;
use test_case::test_case;

use crate::scripted_peer::ScriptedPeer;
use crate::scripted_peer::unused_address;

const TIMEOUT: Duration = Duration::from_secs(20);

const RECORDS: &str = r#"[{"name":"vm-1","kind":"worker","address":"127.0.0.2:9000","zone":"oulu",
    "size":{"cpu_milli":4000,"memory_mb":8192,"accelerators":0},"state":"leaving"}]"#;

#[test]
fn the_list_is_read_as_the_platform_serves_it() {
    let standin =
        VmListStandin::start(([127, 0, 0, 1], 0).into(), VmListFaults::default()).unwrap();
    let client = VmClient::new(PeerAddress::try_from(standin.address()).unwrap(), TIMEOUT);
    assert_eq!(client.list().unwrap(), []);
    let records: Vec<VmRecord> = serde_json::from_str(RECORDS).unwrap();
    standin.service().replace(records.clone());
    assert_eq!(client.list().unwrap(), records);
    standin.service().set_faults(VmListFaults {
        down: true,
        ..VmListFaults::default()
    });
    let report = client.list().unwrap_err();
    assert_eq!(*report.current_context(), VmError::NoResponse);
}

#[test]
fn an_unreachable_list_is_no_response() {
    let report = VmClient::new(unused_address(), TIMEOUT).list().unwrap_err();
    assert_eq!(*report.current_context(), VmError::NoResponse);
}

#[test_case("[]x"; "data after the list")]
#[test_case("{}"; "not a list")]
#[test_case(r#"[{"name":"vm-1"}]"#; "an incomplete entry")]
#[test_case(r#"[{"name":"vm-1","kind":"worker","address":"","zone":"Not A Zone","state":"live"}]"#; "an invalid zone name")]
fn a_list_with_an_invalid_entry_is_rejected(body: &str) {
    let length = body.len();
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    let peer = ScriptedPeer::once(&text);
    let report = VmClient::new(peer.address(), TIMEOUT).list().unwrap_err();
    assert_eq!(*report.current_context(), VmError::InvalidResponse);
}
