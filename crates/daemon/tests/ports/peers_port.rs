use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::support::PortScene;
use crate::support::seal_with;
use crate::support::sealed;
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

/// Whoever does not have the key gets no answer, and holds up nobody.
#[test]
fn strangers_on_the_peers_port_get_no_answer() {
    let scene = PortScene::set("peers", FleetPlan::default());
    let mut rng = StdRng::seed_from_u64(NOISE_SEED);
    for round in 0..NOISE_ROUNDS {
        let mut noise = vec![0; rng.random_range(0..NOISE_BYTES_MAX)];
        rng.fill(noise.as_mut_slice());
        let what = format!("noise {round} of seed {NOISE_SEED:#x}");
        assert_eq!(answer_to(&scene, &noise), [0; 0], "{what}");
        assert_eq!(answer_to(&scene, &framed(&noise)), [0; 0], "{what}, framed");
    }
    let stranger = seal_with(
        "another secret of 29 letters",
        "entry-2",
        1,
        PeerRequest::Ping,
    );
    let unknown_call = sealed("entry-2", 1, 200_u8);
    let cut_short = sealed("entry-2", 1, 3_u8);
    let endless = u32::MAX.to_be_bytes().to_vec();
    for bytes in [
        framed(&stranger),
        framed(&unknown_call),
        framed(&cut_short),
        endless,
    ] {
        assert_eq!(answer_to(&scene, &bytes), [0; 0]);
    }
    let half = &framed(&sealed("entry-2", 1, PeerRequest::Ping))[..20];
    let silent: Vec<TcpStream> = (0..SILENT_PEERS)
        .map(|_| connect_and_send(&scene, half))
        .collect();
    assert_ping(&scene);
    scene.assert_serves("beside-strangers");
    drop(silent);
}

/// Silent connections take a bounded number of threads: one more is closed while
/// those before it are still open, and there is room again once they are gone.
#[test]
fn silent_connections_are_bounded() {
    let scene = PortScene::set("silent_peers", FleetPlan::default());
    let silent: Vec<TcpStream> = (0..=CONNECTIONS_MAX)
        .map(|_| connect_and_send(&scene, &[0]))
        .collect();
    let mut last = &silent[CONNECTIONS_MAX];
    // Closed by the daemon, with or without a reset.
    assert!(matches!(last.read(&mut [0; 1]), Ok(0) | Err(_)));
    let first = &silent[0];
    first.set_nonblocking(true).expect("the mode can be set");
    let peeked = first.peek(&mut [0; 1]).map_err(|error| error.kind());
    assert_eq!(
        peeked,
        Err(std::io::ErrorKind::WouldBlock),
        "the first is open"
    );
    drop(silent);
    wait_until("there is room again", || ping(&scene));
    scene.assert_serves("after-silent-peers");
}

fn assert_ping(scene: &PortScene) {
    assert_eq!(ping(scene), Some(()), "a peer is answered");
}

fn ping(scene: &PortScene) -> Option<()> {
    let answer = answer_to(scene, &framed(&sealed("entry-2", 77, PeerRequest::Ping)));
    let key = FrameKey::new(TOKEN.as_bytes());
    let frame = key.open::<PeerAnswer>(answer.get(4..)?).ok()?;
    (frame.call == 77 && frame.body == PeerAnswer::Pong).then_some(())
}

fn framed(sealed: &[u8]) -> Vec<u8> {
    let length = u32::try_from(sealed.len()).expect("a frame is short");
    [length.to_be_bytes().as_slice(), sealed].concat()
}

fn connect_and_send(scene: &PortScene, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(scene.daemon.peers()).expect("the port is open");
    // The daemon may close before it has read everything.
    let _written = stream.write_all(bytes);
    stream
}

fn answer_to(scene: &PortScene, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect_and_send(scene, bytes);
    let _ended = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _read = stream.read_to_end(&mut answer);
    answer
}
