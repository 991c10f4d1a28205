//! Compares two HTTP clients that call a runner across a link with high latency.
//!
//! A stand-in for the runner simulates the round trips of a link with a one-way delay
//! of 8 ms: it delays each request by one round trip and each new connection by another
//! one. A second run without delays shows the overhead of the clients themselves. A
//! relay in front of the stand-in counts connections and bytes in both directions,
//! without TCP and IP headers. Run it with
//! `cargo run --release -p sapphirestile-clients --example client_towards_runners`.

mod byte_relay;
mod call_summary;
mod client_kind;
mod runner_caller;

use std::time::Duration;
use std::time::Instant;

use crate::byte_relay::ByteRelay;
use crate::call_summary::CallSummary;
use crate::client_kind::ClientKind;
use crate::runner_caller::RunnerCaller;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_standins::runner::RunnerSettings;
use sapphirestile_standins::runner::RunnerStandin;

const THREADS: usize = 8;
const REQUESTS_PER_THREAD: usize = 125;
const BODY_BYTES: usize = 256;
const LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(10),
    response_max_bytes: 4_096,
};

fn main() {
    println!(
        "{} requests, {THREADS} at a time, bodies of {BODY_BYTES} bytes",
        THREADS * REQUESTS_PER_THREAD
    );
    for (round_trip_ms, service_ms) in [(16, 5), (0, 0)] {
        println!("round trip {round_trip_ms} ms, service time {service_ms} ms");
        let settings = RunnerSettings {
            slots: 64,
            service_ms,
            connect_delay_ms: round_trip_ms,
            request_delay_ms: round_trip_ms,
            ..RunnerSettings::default()
        };
        for kind in [ClientKind::Oxhttp, ClientKind::RunnerClient] {
            println!("  {kind:?}: {}", measure(kind, settings));
        }
    }
}

fn measure(kind: ClientKind, settings: RunnerSettings) -> CallSummary {
    let any_port = ([127, 0, 0, 1], 0).into();
    let runner = RunnerStandin::start(any_port, settings).expect("the runner listens");
    let relay = ByteRelay::start(runner.address()).expect("the relay listens");
    let client = kind.connect(relay.address(), LIMITS);
    let mut latencies = Vec::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                let client = &client;
                scope.spawn(move || call_sequentially(client, thread))
            })
            .collect();
        for thread in threads {
            latencies.extend(thread.join().expect("the caller thread does not panic"));
        }
    });
    assert_eq!(runner.service().counts().runs, latencies.len() as u64);
    CallSummary::new(latencies, &relay)
}

fn call_sequentially(client: &RunnerCaller, thread: usize) -> Vec<u64> {
    let body = [b'x'; BODY_BYTES];
    (0..REQUESTS_PER_THREAD)
        .map(|index| {
            let id = format!("request-{thread}-{index}");
            let started = Instant::now();
            client.call(&id, &body);
            u64::try_from(started.elapsed().as_micros()).expect("a call is short")
        })
        .collect()
}
