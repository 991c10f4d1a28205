//! A closed loop of callers.

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
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(5);
const LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(5),
    response_max_bytes: 65_536,
};

/// Callers that each send the next request when the last one is answered, round-robin over
/// the targets and over kept-alive connections. A target that accepts no connection is skipped
/// for `UNREACHABLE_PAUSE`, as a load balancer would do.
pub struct CallerLoad {
    targets: Vec<PeerAddress>,
    callers: usize,
    connections: ConnectionTable,
}

impl CallerLoad {
    /// Creates a load of `callers` concurrent callers.
    ///
    /// # Panics
    ///
    /// When a target has port 0.
    pub fn new(targets: Vec<SocketAddr>, callers: usize) -> Self {
        let peers = targets.into_iter().map(PeerAddress::try_from);
        Self {
            targets: peers
                .collect::<Result<_, _>>()
                .expect("the targets have ports other than 0"),
            callers,
            connections: ConnectionTable::new(),
        }
    }

    /// Sends requests until `time` has passed and returns a record of each.
    pub fn run(&self, time: Duration) -> Vec<CallRecord> {
        let began = Instant::now();
        std::thread::scope(|scope| {
            let threads: Vec<_> = (0..self.callers)
                .map(|caller| scope.spawn(move || self.run_caller(caller, began, time)))
                .collect();
            let joined = threads.into_iter().map(ScopedJoinHandle::join);
            joined
                .flat_map(|records| records.expect("no caller panics"))
                .collect()
        })
    }

    fn run_caller(&self, caller: usize, began: Instant, time: Duration) -> Vec<CallRecord> {
        let mut records = Vec::new();
        let mut unreachable_until = vec![began; self.targets.len()];
        let mut turn = caller;
        while began.elapsed() < time {
            turn += 1;
            let sent = Instant::now();
            let indexes = (0..self.targets.len()).map(|step| (turn + step) % self.targets.len());
            let Some(index) = indexes
                .into_iter()
                .find(|index| unreachable_until[*index] <= sent)
            else {
                std::thread::sleep(RETRY_PAUSE);
                continue;
            };
            let (outcome, unreachable) = self.call(self.targets[index]);
            if unreachable {
                unreachable_until[index] = Instant::now() + UNREACHABLE_PAUSE;
            }
            if outcome != CallOutcome::Answered {
                std::thread::sleep(RETRY_PAUSE);
            }
            records.push(CallRecord {
                ended: began.elapsed(),
                duration: sent.elapsed(),
                outcome,
            });
        }
        records
    }

    /// Sends one request. The second value is true when the target accepted no connection.
    fn call(&self, target: PeerAddress) -> (CallOutcome, bool) {
        let client = HttpClient::with_connections(self.connections.connections(target), LIMITS);
        let request = CallRequest {
            method: "POST",
            path: "/sizing/fit",
            headers: &[],
            body: &BODY,
        };
        match client.call("call target", &request) {
            Ok(answer) => (classify(&answer), false),
            Err(report) => match report.current_context() {
                CallError::NotSent => (CallOutcome::NotRun("no connection".to_owned()), true),
                CallError::Unknown => (CallOutcome::Unknown("no answer".to_owned()), false),
            },
        }
    }
}

fn classify(answer: &HttpResponse) -> CallOutcome {
    if answer.status == 200 {
        assert_eq!(
            answer.body, BODY,
            "the response has the body of the request"
        );
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
