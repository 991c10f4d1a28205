//! Tests of splitting handover messages into datagrams.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::RunnerName;
use sapphirestile_slots::HandoverMessage;
use sapphirestile_slots::HandoverTotal;
use sapphirestile_slots::LedgerGeneration;
use sapphirestile_wire::peer::FrameKey;
use sapphirestile_wire::peer::HandoverParts;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFrame;
use test_case::test_case;

/// The payload that the minimum IPv6 MTU of 1,280 bytes leaves after the IP and UDP
/// headers.
const DATAGRAM_BYTES_MAX: usize = 1_232;

fn member(name: &str) -> DaemonIdentity {
    DaemonIdentity {
        daemon: DaemonName::try_from(name).unwrap(),
        incarnation: IncarnationNumber::new(u64::MAX),
    }
}

fn message(count: usize, name_bytes: usize, total: u64) -> HandoverMessage {
    let totals = (0..count).map(|index| HandoverTotal {
        runner: RunnerName::try_from(format!("r{index:0>width$}", width = name_bytes - 1)).unwrap(),
        created_in: LedgerGeneration::default().next(),
        total,
    });
    HandoverMessage {
        from: member("entry-of-a-name-of-32-letters-a"),
        to: member("entry-of-a-name-of-32-letters-b"),
        totals: totals.collect(),
    }
}

fn sealed_bytes(part: HandoverMessage) -> usize {
    let frame = PeerFrame {
        sender: part.from.daemon.clone(),
        incarnation: part.from.incarnation,
        call: u64::MAX,
        body: PeerDatagram::Handover(part),
    };
    FrameKey::new(b"a secret of sixteen bytes")
        .seal(&frame)
        .unwrap()
        .len()
}

#[test_case(0, 20, 1, 0; "nothing")]
#[test_case(1, 20, 1, 1; "one")]
#[test_case(43, 20, 1, 1; "exactly one full datagram")]
#[test_case(44, 20, 1, 2; "one total more than fits a datagram")]
#[test_case(116, 18, 300, 3; "a page of the target size")]
#[test_case(500, 60, u64::MAX, 39; "long names and totals")]
fn parts_fit_a_datagram_and_contain_every_total(
    count: usize,
    name: usize,
    total: u64,
    parts: usize,
) {
    let whole = message(count, name, total);
    let split: Vec<HandoverMessage> = HandoverParts::new(whole.clone()).collect();
    assert_eq!(split.len(), parts);
    let totals: Vec<HandoverTotal> = split.iter().flat_map(|part| part.totals.clone()).collect();
    assert_eq!(totals, whole.totals);
    for part in split {
        let bytes = sealed_bytes(part);
        assert!(bytes <= DATAGRAM_BYTES_MAX, "sealed part: {bytes} bytes");
    }
}
