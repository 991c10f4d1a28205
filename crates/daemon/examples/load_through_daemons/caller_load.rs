//! Callers that call as fast as they are answered.

use std::net::SocketAddr;
use std::thread::ScopedJoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::call_outcome::CallOutcome;
use crate::call_record::CallRecord;
use sapphirestile_clients::http::CallError;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest;
use sapphirestile_clients::http::ConnectionTable;
use sapphirestile_clients::http::HttpClient;
use sapphirestile_clients::http::HttpResponse;
use sapphirestile_clients::http::PeerAddress;

const BODY: [u8; 256] = [b'x'; 256];
const ABSENCE: Duration = Duration::from_secs(1);
const REFUSED_PAUSE: Duration = Duration::from_millis(5);
const LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(5),
    response_max_bytes: 65_536,
};

/// Callers that spread their requests over targets in turn, over connections
/// that stay open. A target that takes no connection is left out for a second,
/// as a balancer would.
pub struct CallerLoad {
    targets: Vec<PeerAddress>,
    callers: usize,
    connections: ConnectionTable,
}

impl CallerLoad {
    /// As many callers, over these targets.
    pub fn new(targets: Vec<SocketAddr>, callers: usize) -> Self {
        let peers = targets.into_iter().map(PeerAddress::try_from);
        Self {
            targets: peers.collect::<Result<_, _>>().expect("ports other than 0"),
            callers,
            connections: ConnectionTable::new(),
        }
    }

    /// Calls until `time` has passed and returns every request.
    pub fn run(&self, time: Duration) -> Vec<CallRecord> {
        let began = Instant::now();
        std::thread::scope(|scope| {
            let threads: Vec<_> = (0..self.callers)
                .map(|caller| scope.spawn(move || self.call_in_turn(caller, began, time)))
                .collect();
            let joined = threads.into_iter().map(ScopedJoinHandle::join);
            joined
                .flat_map(|records| records.expect("a caller ends"))
                .collect()
        })
    }

    fn call_in_turn(&self, caller: usize, began: Instant, time: Duration) -> Vec<CallRecord> {
        let mut records = Vec::new();
        let mut absent_until = vec![began; self.targets.len()];
        let mut turn = caller;
        while began.elapsed() < time {
            turn += 1;
            let sent = Instant::now();
            let places = (0..self.targets.len()).map(|step| (turn + step) % self.targets.len());
            let Some(place) = places
                .into_iter()
                .find(|place| absent_until[*place] <= sent)
            else {
                std::thread::sleep(REFUSED_PAUSE);
                continue;
            };
            let (outcome, absent) = self.call(self.targets[place]);
            if absent {
                absent_until[place] = Instant::now() + ABSENCE;
            }
            if outcome != CallOutcome::Answered {
                std::thread::sleep(REFUSED_PAUSE);
            }
            records.push(CallRecord {
                ended: began.elapsed(),
                took: sent.elapsed(),
                outcome,
            });
        }
        records
    }

    /// One request, and whether its target took no connection.
    fn call(&self, target: PeerAddress) -> (CallOutcome, bool) {
        let client = HttpClient::with_connections(self.connections.connections(target), LIMITS);
        let request = CallRequest {
            method: "POST",
            path: "/sizing/fit",
            headers: &[],
            body: &BODY,
        };
        match client.call("call target", &request) {
            Ok(answer) => (judge(&answer), false),
            Err(report) => match report.current_context() {
                CallError::NotSent => (CallOutcome::NotRun("no connection".to_owned()), true),
                CallError::Unknown => (CallOutcome::Unknown("no answer".to_owned()), false),
            },
        }
    }
}

fn judge(answer: &HttpResponse) -> CallOutcome {
    if answer.status == 200 {
        assert_eq!(answer.body, BODY, "a caller gets its own answer");
        return CallOutcome::Answered;
    }
    let body = String::from_utf8_lossy(&answer.body);
    let reason = format!("{} {body}", answer.status);
    let not_run = answer.sole_header("x-outcome") == Some(b"not-run")
        || answer.sole_header("x-not-run") == Some(b"true");
    if not_run {
        CallOutcome::NotRun(reason)
    } else {
        CallOutcome::Unknown(reason)
    }
}
