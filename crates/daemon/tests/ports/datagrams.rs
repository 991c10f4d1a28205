use std::net::SocketAddr;
use std::net::UdpSocket;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;

use crate::support::PortScene;
use crate::support::seal_with;
use crate::support::sealed;
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
const GENERATIONS: u64 = 8;

/// Noise, strangers and extreme numbers over UDP change nothing that matters:
/// the daemon serves, and a new member gets its tokens.
#[test]
fn noise_and_strangers_over_udp_do_no_harm() {
    let scene = PortScene::set("datagrams", FleetPlan::default());
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port can be bound");
    let send = |bytes: &[u8]| {
        let sent = socket.send_to(bytes, scene.daemon.peers());
        assert_eq!(sent.expect("a datagram can be sent"), bytes.len());
    };
    let mut rng = StdRng::seed_from_u64(NOISE_SEED);
    for _ in 0..NOISE_ROUNDS {
        let mut noise = vec![0; rng.random_range(0..NOISE_BYTES_MAX)];
        rng.fill(noise.as_mut_slice());
        send(&noise);
    }
    let address = socket.local_addr().expect("a bound port has an address");
    let beat = |cells| PeerDatagram::Heartbeat(heartbeat(address, cells));
    send(&seal_with(
        "another secret of 29 letters",
        "entry-8",
        1,
        beat(0),
    ));
    send(&sealed("entry-8", 1, 200_u8));
    // An earlier life of the daemon itself is no reason to end.
    send(&sealed("entry-1", u64::MAX, beat(3)));
    for generation in 0..GENERATIONS {
        send(&sealed(
            &format!("stranger-{generation}"),
            1,
            PeerDatagram::Tokens(greedy(generation)),
        ));
    }
    send(&sealed(
        "entry-9",
        2,
        PeerDatagram::Handover(endless_tokens()),
    ));
    send(&sealed("entry-9", 3, beat(2)));
    let members = wait_until("the stranger with the key is known", || {
        let names = member_names(&scene);
        names.contains(&"entry-9".to_owned()).then_some(names)
    });
    assert!(!members.contains(&"entry-8".to_owned()), "{members:?}");

    let peers = [scene.daemon.peers()];
    let second = scene.fleet.daemon("entry-2", "near-b", &peers);
    wait_until("the new member has tokens", || {
        let (_, status) = call_json(second.operators(), "GET", "/v1/status", &Value::Null)?;
        let tokens = status["services"][0]["tokens"].as_u64()?;
        (tokens > 0).then_some(())
    });
    scene.assert_serves("after-noise");
    assert!(scene.daemon.stop().success(), "a planned stop ends in time");
}

/// A replayed heartbeat is no sign of life.
#[test]
fn a_replayed_heartbeat_is_dropped() {
    let address: SocketAddr = "127.0.0.1:7000".parse().expect("the address is valid");
    let mut table = MemberTable::default();
    let mut note = |incarnation, call, at| {
        let peer = identity(incarnation);
        table.record_heartbeat(
            &peer,
            call,
            &heartbeat(address, 0),
            MonoTime::from_millis(at),
        )
    };
    assert!(note(2, 7, 100));
    assert!(!note(2, 7, 200), "the same again");
    assert!(!note(2, 6, 300), "an earlier one of the same life");
    assert!(!note(1, 9, 400), "one of an earlier life");
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

/// The report of a stranger that says that it holds all tokens and wants none.
fn greedy(generation: u64) -> TokenReport {
    let service = ServiceName::try_from("sizing").expect("the name is valid");
    TokenReport {
        generation,
        zone: ZoneName::try_from("near-a").expect("the name is valid"),
        weights: vec![(service, 0)],
        tokens: vec![u32::MAX; 3],
    }
}

fn endless_tokens() -> HandoverMessage {
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

fn member_names(scene: &PortScene) -> Vec<String> {
    let answer = call_json(scene.daemon.operators(), "GET", "/v1/status", &Value::Null);
    let members = answer.and_then(|(_, status)| status["members"].as_array().cloned());
    let names = members.unwrap_or_default();
    names
        .iter()
        .filter_map(|member| member["daemon"].as_str().map(str::to_owned))
        .collect()
}
