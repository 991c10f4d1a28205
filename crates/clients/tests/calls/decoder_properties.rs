//! Property tests that decode random and damaged bytes as every body type.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest;
use sapphirestile_clients::http::HttpClient;
use sapphirestile_wire::store::Base64Bytes;
use sapphirestile_wire::store::LeaseResponse;
use sapphirestile_wire::store::RangeResponse;
use sapphirestile_wire::store::StreamLine;
use sapphirestile_wire::store::TxnRequest;
use sapphirestile_wire::store::TxnResponse;
use sapphirestile_wire::store::VALUE_MAX_BYTES;
use sapphirestile_wire::store::WatchRequest;
use sapphirestile_wire::store::WatchResponse;
use sapphirestile_wire::vms::VmRecord;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskStart;
use sapphirestile_wire::worker::WorkerRefusal;

use crate::peer_script::PeerScript;
use crate::scripted_peer::ScriptedPeer;

const SEED: u64 = 20_261_204;
const RESPONSE_MAX_BYTES: usize = 64;

/// Valid bodies, which the tests damage.
const BODIES: [&str; 5] = [
    r#"{"header":{"revision":"7"},"kvs":[{"key":"Zm9v","value":"YmFy","mod_revision":"3"}]}"#,
    r#"{"compare":[{"key":"Zg==","target":"MOD","result":"EQUAL"}],"success":[{"requestPut":{"key":"Zg=="}}]}"#,
    r#"{"result":{"canceled":false,"events":[{"kv":{"key":"Zg==","mod_revision":"5"}}]}}"#,
    r#"{"cell":1,"epoch":2,"lease_ms":3,"settled":[{"task":{"job":"a","index":0},"attempt":1}]}"#,
    r#"[{"name":"v","kind":"entry","address":"127.0.0.1:1","zone":"z","state":"live"}]"#,
];

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Decodes `bytes` as every body type. The results do not matter; decoding must not panic.
fn decode_all(bytes: &[u8]) {
    let _ = serde_json::from_slice::<RangeResponse<'_>>(bytes);
    let _ = serde_json::from_slice::<TxnRequest<'_>>(bytes);
    let _ = serde_json::from_slice::<TxnResponse>(bytes);
    let _ = serde_json::from_slice::<LeaseResponse>(bytes);
    let _ = serde_json::from_slice::<WatchRequest<'_>>(bytes);
    let _ = serde_json::from_slice::<StreamLine<WatchResponse<'_>>>(bytes);
    let _ = serde_json::from_slice::<Vec<VmRecord>>(bytes);
    let _ = serde_json::from_slice::<SessionRequest>(bytes);
    let _ = serde_json::from_slice::<SessionReport>(bytes);
    let _ = serde_json::from_slice::<TaskStart>(bytes);
    let _ = serde_json::from_slice::<WorkerRefusal>(bytes);
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn decoding_random_bytes_never_panics(bytes in vec(any::<u8>(), 0..256)) {
        decode_all(&bytes);
    }

    #[test]
    fn decoding_damaged_bodies_never_panics(
        body in 0..BODIES.len(),
        position in any::<usize>(),
        byte in any::<u8>(),
        length in any::<usize>(),
    ) {
        let mut bytes = BODIES[body].as_bytes().to_vec();
        let position = position % bytes.len();
        bytes[position] = byte;
        bytes.truncate(1 + length % bytes.len());
        decode_all(&bytes);
    }
}

proptest! {
    #![proptest_config(config(100))]

    #[test]
    fn the_size_of_random_responses_is_limited(
        head in proptest::bool::ANY,
        bytes in vec(any::<u8>(), 0..200),
    ) {
        let start: &[u8] = if head { b"HTTP/1.1 200 OK\r\ncontent-length: 9" } else { b"" };
        let script = PeerScript::RespondAndClose([start, &bytes].concat());
        let peer = ScriptedPeer::start(vec![vec![script]]);
        let limits = CallLimits {
            timeout: Duration::from_secs(20),
            response_max_bytes: RESPONSE_MAX_BYTES,
        };
        let client = HttpClient::new(peer.address(), limits);
        let answer = client.call("test", &CallRequest::get("/"));
        assert!(answer.is_err() || answer.unwrap().body.len() <= RESPONSE_MAX_BYTES);
    }
}

#[test]
fn oversized_values_are_rejected_before_decoding() {
    let text = |bytes: usize| format!("\"{}\"", "A".repeat(bytes.div_ceil(3) * 4));
    let largest: Base64Bytes<'_> = serde_json::from_str(&text(VALUE_MAX_BYTES)).unwrap();
    assert!(largest.as_bytes().len() <= VALUE_MAX_BYTES + 2);
    let larger = serde_json::from_str::<Base64Bytes<'_>>(&text(VALUE_MAX_BYTES + 3));
    assert!(larger.unwrap_err().to_string().contains("invalid length"));
}
