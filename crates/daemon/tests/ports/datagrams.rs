use std::net::SocketAddr;
use std::net::UdpSocket;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;

use crate::support::DaemonFixture;
use crate::support::seal_frame;
use crate::support::seal_frame_with;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_daemon::members::MemberTable;
use sapphirestile_slots::HandoverMessage;
use sapphirestile_slots::HandoverTotal;
use sapphirestile_slots::LedgerGeneration;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;
use sapphirestile_wire::peer::MemberState;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerHeartbeat;
use sapphirestile_wire::peer::TokenReport;

const NOISE_SEED: u64 = 0x0da7;
const NOISE_ROUNDS: usize = 200;
const NOISE_BYTES_MAX: usize = 2_000;
/// The number of token reports from unknown members, each for a later ledger generation.
const GENERATIONS: u64 = 8;

/// Random bytes, frames with another key, messages of unknown members and extreme numbers
/// over UDP must do no harm: the daemon must keep serving, and a new member must get its
/// share of tokens.
#[test]
fn invalid_datagrams_do_no_harm() {
    let fixture = DaemonFixture::start("datagrams", FleetPlan::default());
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a UDP socket can be bound");
    let send = |bytes: &[u8]| {
        let sent = socket.send_to(bytes, fixture.daemon.peers());
        assert_eq!(sent.expect("a datagram can be sent"), bytes.len());
    };
    let mut rng = StdRng::seed_from_u64(NOISE_SEED);
    for _ in 0..NOISE_ROUNDS {
        let mut noise = vec![0; rng.random_range(0..NOISE_BYTES_MAX)];
        rng.fill(noise.as_mut_slice());
        send(&noise);
    }
    let address = socket.local_addr().expect("a bound port has an address");
    let heartbeat_of = |cells| PeerDatagram::Heartbeat(heartbeat(address, cells));
    send(&seal_frame_with(
        "another secret of 29 letters",
        "entry-8",
        1,
        heartbeat_of(0),
    ));
    send(&seal_frame("entry-8", 1, 200_u8));
    // A heartbeat of an earlier incarnation of the daemon itself must not stop it.
    send(&seal_frame("entry-1", u64::MAX, heartbeat_of(3)));
    for generation in 0..GENERATIONS {
        send(&seal_frame(
            &format!("stranger-{generation}"),
            1,
            PeerDatagram::Tokens(greedy_report(generation)),
        ));
    }
    send(&seal_frame(
        "entry-9",
        2,
        PeerDatagram::Handover(excessive_handover()),
    ));
    send(&seal_frame("entry-9", 3, heartbeat_of(2)));
    let members = wait_until(
        "the daemon knows the unregistered member that has the key",
        || {
            let names = member_names(&fixture);
            names.contains(&"entry-9".to_owned()).then_some(names)
        },
    );
    assert!(!members.contains(&"entry-8".to_owned()), "{members:?}");

    let peers = [fixture.daemon.peers()];
    let second = fixture.fleet.start_daemon("entry-2", "near-b", &peers);
    wait_until("the new member has tokens", || {
        let (_, status) = call_json(second.operators(), "GET", "/v1/status", &Value::Null)?;
        let tokens = status["services"][0]["tokens"].as_u64()?;
        (tokens > 0).then_some(())
    });
    fixture.assert_serves("after-noise");
    assert!(
        fixture.daemon.stop().success(),
        "the daemon did not stop in time"
    );
}

/// A replayed heartbeat must not count as a sign that its sender is alive.
#[test]
fn a_replayed_heartbeat_is_dropped() {
    let address: SocketAddr = "127.0.0.1:7000".parse().expect("the address is valid");
    let mut table = MemberTable::default();
    let mut record = |incarnation, call, at| {
        let peer = identity(incarnation);
        table.note_heartbeat(
            &peer,
            call,
            &heartbeat(address, 0),
            MonoTime::from_millis(at),
        )
    };
    assert!(record(2, 7, 100));
    assert!(!record(2, 7, 200), "the same heartbeat was accepted again");
    assert!(
        !record(2, 6, 300),
        "an earlier heartbeat of the same incarnation was accepted"
    );
    assert!(
        !record(1, 9, 400),
        "a heartbeat of an earlier incarnation was accepted"
    );
    let row = table.row("entry-9").expect("the member is known");
    assert_eq!(row.silent_ms(MonoTime::from_millis(500)), 400);
}

fn identity(incarnation: u64) -> DaemonIdentity {
    DaemonIdentity {
        daemon: DaemonName::try_from("entry-9").expect("the name is valid"),
        incarnation: IncarnationNumber::new(incarnation),
    }
}

fn heartbeat(address: SocketAddr, cells: u16) -> PeerHeartbeat {
    PeerHeartbeat {
        address,
        state: MemberState::Starting,
        revision: ConfigRevision::new(u64::MAX),
        store_silent_ms: u64::MAX,
        cells: (1..=cells)
            .map(|cell| (CellNumber::new(cell), CellEpoch::new(u64::MAX)))
            .collect(),
    }
}

/// The report of an unknown member that claims to hold all tokens and to need none.
fn greedy_report(generation: u64) -> TokenReport {
    let service = ServiceName::try_from("sizing").expect("the name is valid");
    TokenReport {
        generation,
        zone: ZoneName::try_from("near-a").expect("the name is valid"),
        weights: vec![(service, 0)],
        tokens: vec![u32::MAX; 3],
    }
}

/// A handover of as many tokens as the message can express, between other incarnations.
fn excessive_handover() -> HandoverMessage {
    HandoverMessage {
        from: identity(1),
        to: identity(1),
        totals: vec![HandoverTotal {
            runner: RunnerName::try_from("runner-near-a-0").expect("the name is valid"),
            created_in: LedgerGeneration::default().next(),
            total: u64::MAX,
        }],
    }
}

fn member_names(fixture: &DaemonFixture) -> Vec<String> {
    let answer = call_json(
        fixture.daemon.operators(),
        "GET",
        "/v1/status",
        &Value::Null,
    );
    let members = answer.and_then(|(_, status)| status["members"].as_array().cloned());
    let names = members.unwrap_or_default();
    names
        .iter()
        .filter_map(|member| member["daemon"].as_str().map(str::to_owned))
        .collect()
}
