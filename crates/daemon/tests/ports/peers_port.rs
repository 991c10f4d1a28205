use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::support::DaemonFixture;
use crate::support::seal_frame;
use crate::support::seal_frame_with;
use sapphirestile_daemon::peers::CONNECTIONS_MAX;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::wait_until;
use sapphirestile_wire::peer::FrameKey;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerRequest;

const NOISE_SEED: u64 = 0x0b5d;
const NOISE_ROUNDS: usize = 64;
const NOISE_BYTES_MAX: usize = 300;
const SILENT_PEERS: usize = 40;

/// A connection that sends no frame with the right key must get no response, and must not
/// delay other peers.
#[test]
fn connections_without_the_key_get_no_response() {
    let fixture = DaemonFixture::start("peers", FleetPlan::default());
    let mut rng = StdRng::seed_from_u64(NOISE_SEED);
    for round in 0..NOISE_ROUNDS {
        let mut noise = vec![0; rng.random_range(0..NOISE_BYTES_MAX)];
        rng.fill(noise.as_mut_slice());
        let what = format!("random bytes, round {round} of seed {NOISE_SEED:#x}");
        assert_eq!(response_to(&fixture, &noise), [0; 0], "{what}");
        assert_eq!(
            response_to(&fixture, &with_length(&noise)),
            [0; 0],
            "{what}, with their length"
        );
    }
    let stranger = seal_frame_with(
        "another secret of 29 letters",
        "entry-2",
        1,
        PeerRequest::Ping,
    );
    let unknown_call = seal_frame("entry-2", 1, 200_u8);
    let cut_short = seal_frame("entry-2", 1, 3_u8);
    let endless = u32::MAX.to_be_bytes().to_vec();
    for bytes in [
        with_length(&stranger),
        with_length(&unknown_call),
        with_length(&cut_short),
        endless,
    ] {
        assert_eq!(response_to(&fixture, &bytes), [0; 0]);
    }
    let half = &with_length(&seal_frame("entry-2", 1, PeerRequest::Ping))[..20];
    let silent: Vec<TcpStream> = (0..SILENT_PEERS)
        .map(|_| connect_and_send(&fixture, half))
        .collect();
    assert_ping(&fixture);
    fixture.assert_serves("beside-strangers");
    drop(silent);
}

/// Connections without a complete frame must take a bounded number of threads: one more must
/// be closed while the earlier ones stay open, and once they are closed new ones must be
/// served.
#[test]
fn silent_connections_are_bounded() {
    let fixture = DaemonFixture::start("silent_peers", FleetPlan::default());
    let silent: Vec<TcpStream> = (0..=CONNECTIONS_MAX)
        .map(|_| connect_and_send(&fixture, &[0]))
        .collect();
    let mut last = &silent[CONNECTIONS_MAX];
    // The daemon closes it, with or without a reset.
    assert!(matches!(last.read(&mut [0; 1]), Ok(0) | Err(_)));
    let first = &silent[0];
    first
        .set_nonblocking(true)
        .expect("the socket can be made non-blocking");
    let peeked = first.peek(&mut [0; 1]).map_err(|error| error.kind());
    assert_eq!(
        peeked,
        Err(std::io::ErrorKind::WouldBlock),
        "the first connection was closed"
    );
    drop(silent);
    wait_until("a new connection is served", || ping(&fixture));
    fixture.assert_serves("after-silent-peers");
}

fn assert_ping(fixture: &DaemonFixture) {
    assert_eq!(ping(fixture), Some(()), "a ping got no response");
}

fn ping(fixture: &DaemonFixture) -> Option<()> {
    let answer = response_to(
        fixture,
        &with_length(&seal_frame("entry-2", 77, PeerRequest::Ping)),
    );
    let key = FrameKey::new(TOKEN.as_bytes());
    let frame = key.open::<PeerAnswer>(answer.get(4..)?).ok()?;
    (frame.call == 77 && frame.body == PeerAnswer::Pong).then_some(())
}

/// Prefixes a sealed frame with its length.
fn with_length(sealed: &[u8]) -> Vec<u8> {
    let length = u32::try_from(sealed.len()).expect("the length of a frame fits in 32 bits");
    [length.to_be_bytes().as_slice(), sealed].concat()
}

fn connect_and_send(fixture: &DaemonFixture, bytes: &[u8]) -> TcpStream {
    let mut stream =
        TcpStream::connect(fixture.daemon.peers()).expect("the port accepts connections");
    // The daemon may close the connection before it has read everything.
    let _written = stream.write_all(bytes);
    stream
}

fn response_to(fixture: &DaemonFixture, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect_and_send(fixture, bytes);
    let _ended = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _read = stream.read_to_end(&mut answer);
    answer
}
