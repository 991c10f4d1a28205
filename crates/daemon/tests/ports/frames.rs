use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use serde::de::DeserializeOwned;

use crate::support::seal_frame;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::RequestKey;
use sapphirestile_core::ServiceName;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::ZoneName;
use sapphirestile_test_support::TOKEN;
use sapphirestile_wire::peer::FrameError;
use sapphirestile_wire::peer::FrameKey;
use sapphirestile_wire::peer::MemberState;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFault;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::PeerHeartbeat;
use sapphirestile_wire::peer::PeerRequest;
use sapphirestile_wire::peer::TokenReport;

const PROPERTY_SEED: u64 = 0x0f4a;
const PROPERTY_CASES: u32 = 512;
/// The length of the seal at the start of a frame.
const SEAL_BYTES: usize = 32;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: PROPERTY_CASES,
        rng_seed: RngSeed::Fixed(PROPERTY_SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_bytes_are_never_a_frame(noise in proptest::collection::vec(any::<u8>(), 0..400)) {
        let expected = if noise.len() < SEAL_BYTES {
            FrameError::TooShort
        } else {
            FrameError::WrongSeal
        };
        assert_eq!(key().open::<PeerDatagram>(&noise), Err(expected));
        assert_eq!(key().open::<PeerRequest>(&noise), Err(expected));
        assert_eq!(key().open::<PeerAnswer>(&noise), Err(expected));
        // The decoders behind the seal must not panic on them either.
        decode_all(&noise);
    }

    #[test]
    fn a_changed_frame_is_rejected(position in any::<usize>(), flip in 1..=u8::MAX, length in any::<usize>()) {
        for frame in frames() {
            let mut changed = frame.clone();
            let position = position % changed.len();
            changed[position] ^= flip;
            assert_eq!(key().open::<PeerRequest>(&changed), Err(FrameError::WrongSeal));
            assert!(key().open::<PeerAnswer>(&frame[..length % frame.len()]).is_err());
        }
    }

    #[test]
    fn changed_content_under_a_valid_seal_does_not_panic(
        position in any::<usize>(),
        flip in 1..=u8::MAX,
        length in any::<usize>(),
        garbage in any::<[u8; 32]>(),
    ) {
        for frame in frames() {
            let mut content = frame[SEAL_BYTES..].to_vec();
            let position = position % content.len();
            content[position] ^= flip;
            decode_all(&content);
            decode_all(&content[..length % content.len()]);
        }
        let frame = seal_frame("entry-2", 1, garbage);
        open_all(&frame);
    }
}

fn key() -> FrameKey {
    FrameKey::new(TOKEN.as_bytes())
}

fn open_all(frame: &[u8]) {
    // The result depends on the bytes; the property is that the call does not panic.
    let _opened = key().open::<PeerDatagram>(frame);
    let _opened = key().open::<PeerRequest>(frame);
    let _opened = key().open::<PeerAnswer>(frame);
}

fn decode_all(content: &[u8]) {
    decode::<PeerDatagram>(content);
    decode::<PeerRequest>(content);
    decode::<PeerAnswer>(content);
}

fn decode<B: DeserializeOwned>(content: &[u8]) {
    // The result depends on the bytes; the property is that the call does not panic.
    let _decoded = postcard::from_bytes::<PeerFrame<B>>(content);
}

/// Valid frames: datagrams, requests and answers.
fn frames() -> Vec<Vec<u8>> {
    let job = JobName::try_from("patterns").expect("the name is valid");
    let key = RequestKey::try_from("order-17").expect("the key is valid");
    let service = ServiceName::try_from("sizing").expect("the name is valid");
    let cell = CellNumber::new(3);
    let datagrams = [
        PeerDatagram::Heartbeat(PeerHeartbeat {
            address: "127.0.0.1:7000".parse().expect("the address is valid"),
            state: MemberState::Serving,
            revision: ConfigRevision::new(9),
            store_silent_ms: 40,
            cells: vec![(cell, CellEpoch::new(5))],
        }),
        PeerDatagram::Tokens(TokenReport {
            generation: 4,
            zone: ZoneName::try_from("near-a").expect("the name is valid"),
            weights: vec![(service, 1_000)],
            tokens: vec![2, 3, 1],
        }),
    ];
    let requests = [
        PeerRequest::Ping,
        PeerRequest::Explain(cell, job, Some(TaskIndex::new(7))),
        PeerRequest::RecordRequest(cell, key, 9),
    ];
    let answers = [
        PeerAnswer::Recorded {
            epoch: CellEpoch::new(5),
            sequence: JournalSequence::new(17),
        },
        PeerAnswer::Explained("patterns".to_owned(), vec!["no room".to_owned()]),
        PeerAnswer::Fault(PeerFault::NotRun("the store is away".to_owned())),
    ];
    let datagrams = datagrams.map(|body| seal_frame("entry-2", 1, body));
    let requests = requests.map(|body| seal_frame("entry-2", 1, body));
    let answers = answers.map(|body| seal_frame("entry-2", 1, body));
    [&datagrams[..], &requests[..], &answers[..]].concat()
}
