//! `MUTATION_SEEDS=100..400 cargo test -p sapphirestile-daemon --test ports mutated -- --nocapture`
//! sends the messages of the given seeds, both ends included.

use std::ops::RangeInclusive;

use crate::deployed_process::DeployedProcess;
use crate::request_mutator::RequestMutator;
use crate::support::DaemonFixture;
use crate::support::exchange;
use crate::support::seal_frame;
use sapphirestile_platform_standins::SiteBodies;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_wire::peer::PeerRequest;

/// The number of messages that each port gets of one seed.
const MESSAGES_PER_SEED: usize = 100;

const SEEDS_DEFAULT: RangeInclusive<u64> = 1..=4;

/// No changed request may end a deployed daemon or keep it from answering.
#[test]
fn mutated_requests_leave_a_deployed_daemon_serving() {
    let mut daemon = DeployedProcess::start("mutated");
    let requests = deployed_requests();
    for seed in seeds() {
        let mut mutator = RequestMutator::new(seed);
        for port in daemon.ports() {
            for _ in 0..MESSAGES_PER_SEED {
                exchange(port, &mutator.draw(&requests));
            }
        }
        println!("seed {seed}");
        daemon.assert_serves();
    }
}

/// No changed request or frame may end a daemon or keep it from answering.
#[test]
fn mutated_messages_leave_a_daemon_serving() {
    let fixture = DaemonFixture::start("mutated", FleetPlan::default());
    let ports = [
        (fixture.daemon.callers(), caller_requests()),
        (fixture.daemon.operators(), operator_requests()),
        (fixture.daemon.peers(), peer_frames()),
    ];
    for seed in seeds() {
        let mut mutator = RequestMutator::new(seed);
        for (port, messages) in &ports {
            for _ in 0..MESSAGES_PER_SEED {
                exchange(*port, &mutator.draw(messages));
            }
        }
        println!("seed {seed}");
        fixture.assert_serves(&format!("after-seed-{seed}"));
    }
}

/// The seeds of the environment, or [`SEEDS_DEFAULT`].
fn seeds() -> RangeInclusive<u64> {
    let Ok(range) = std::env::var("MUTATION_SEEDS") else {
        return SEEDS_DEFAULT;
    };
    let ends = range.split_once("..");
    let ends = ends.and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
    let (first, last) = ends.expect("MUTATION_SEEDS is a range such as 1..50");
    first..=last
}

fn deployed_requests() -> Vec<Vec<u8>> {
    let body = SiteBodies::two_steps("100");
    let path = "/charts/00000000000000cc";
    let wait = "host: desk.example\r\nsapphirestile-deadline-ms: 50\r\n";
    vec![
        request("GET", "/charts/", wait, ""),
        request("GET", path, wait, ""),
        request("DELETE", path, wait, ""),
        request("POST", path, wait, &body),
        chunked_request(path, wait, &body),
        request("GET", "/metrics", "host: desk.example\r\n", ""),
    ]
}

fn caller_requests() -> Vec<Vec<u8>> {
    let headers = "host: entry\r\nx-deadline-ms: 50\r\nidempotency-key: order-17\r\n";
    vec![
        request("POST", "/sizing/fit", headers, "chest"),
        chunked_request("/sizing/fit", headers, "chest"),
        request("GET", "/sizing/fit?size=3", headers, ""),
    ]
}

fn operator_requests() -> Vec<Vec<u8>> {
    let headers = "host: entry\r\nauthorization: Basic abc\r\n";
    vec![
        request("GET", "/v1/status", headers, ""),
        request("GET", "/v1/jobs/nobody", headers, ""),
        request("GET", "/metrics", headers, ""),
        request(
            "GET",
            "/console?page=1",
            "host: entry\r\ncookie: s=1\r\n",
            "",
        ),
        request(
            "POST",
            "/v1/jobs",
            headers,
            "{\"job\":\"patterns\",\"tasks\":1}",
        ),
        chunked_request("/v1/jobs", headers, "{}"),
    ]
}

/// A ping under a valid seal, and random content under one.
fn peer_frames() -> Vec<Vec<u8>> {
    let frames = [
        seal_frame("entry-2", 1, PeerRequest::Ping),
        seal_frame("entry-2", 1, [0x5a_u8; 32]),
        seal_frame("entry-2", u64::MAX, u64::MAX),
    ];
    frames.into_iter().map(with_length).collect()
}

fn with_length(sealed: Vec<u8>) -> Vec<u8> {
    let length = u32::try_from(sealed.len()).expect("the length of a frame fits in 32 bits");
    [length.to_be_bytes().to_vec(), sealed].concat()
}

fn request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\n{headers}content-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn chunked_request(path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\n{headers}transfer-encoding: chunked\r\n\r\n\
         {length:x}\r\n{body}\r\n0\r\n\r\n"
    )
    .into_bytes()
}
