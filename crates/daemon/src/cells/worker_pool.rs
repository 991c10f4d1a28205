//! A pool of threads that call workers.

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use tracing::debug;

use crate::cells::CallPool;
use crate::cells::CellEvent;
use crate::cells::PoolSizes;
use crate::cells::WorkerCall;
use crate::context::DaemonContext;
use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::AttemptStop;
use sapphirestile_cells::CellEffect;
use sapphirestile_cells::SessionRenewal;
use sapphirestile_cells::ThrottleRequest;
use sapphirestile_clients::http::PeerAddress;
use sapphirestile_clients::worker::WorkerClient;
use sapphirestile_clients::worker::WorkerError;
use sapphirestile_core::CellNumber;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskStart;
use sapphirestile_wire::worker::TaskStop;
use sapphirestile_wire::worker::TaskThrottle;
use sapphirestile_wire::worker::WorkerRefusal;

const POOL_SIZES: PoolSizes = PoolSizes {
    reachable: 48,
    silent: 16,
};
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A pool of threads that call workers, so that cells' actors need not wait for them and
/// a worker that does not respond delays no other.
#[derive(Clone)]
pub struct WorkerPool {
    calls: CallPool<WorkerCall>,
}

impl WorkerPool {
    /// Starts the pool's threads. They end when the last clone of the pool is dropped.
    #[must_use]
    pub fn start(context: &Arc<DaemonContext>) -> Self {
        let context = Arc::clone(context);
        let calls = CallPool::start(POOL_SIZES, move |call| serve(&context, &call));
        Self { calls }
    }

    /// Queues a call. Does not block.
    pub fn call(&self, call: WorkerCall) {
        self.calls.queue(call.reach, call);
    }
}

/// Makes a call and sends its event. A call to an address with port 0 is dropped without
/// an event.
fn serve(context: &DaemonContext, call: &WorkerCall) {
    let Ok(address) = PeerAddress::try_from(call.address) else {
        return;
    };
    let connections = context.connections.connections(address);
    let client = WorkerClient::with_connections(connections, CALL_TIMEOUT);
    let event = match &call.effect {
        CellEffect::Session(renewal) => Some(open_session(context, &client, call, renewal)),
        CellEffect::Start(request) => Some(start_task(&client, call.cell, request)),
        CellEffect::Stop(request) => {
            stop_task(&client, call.cell, request);
            None
        }
        CellEffect::Throttle(request) => {
            throttle_task(&client, call.cell, request);
            None
        }
    };
    if let Some(event) = event {
        // The actor may have ended in the meantime.
        let _sent = call.events.send(event);
    }
}

fn open_session(
    context: &DaemonContext,
    client: &WorkerClient,
    call: &WorkerCall,
    renewal: &SessionRenewal,
) -> CellEvent {
    let asked = context.clock.now();
    let lease_ms = context.settings.limits.lease_ms;
    let request = SessionRequest::of(call.cell, renewal, lease_ms);
    let worker = renewal.worker.clone();
    let ordinal = renewal.ordinal;
    match client.session(&request) {
        Ok(report) => CellEvent::Reported {
            worker,
            ordinal,
            asked,
            changes: report.into(),
        },
        Err(error) => {
            let deposed = is_stale_epoch(&error);
            debug!(step = "open session", peer = %worker, ?error, "session request failed");
            CellEvent::SessionLost {
                worker,
                ordinal,
                deposed,
            }
        }
    }
}

fn start_task(client: &WorkerClient, cell: CellNumber, request: &AttemptStart) -> CellEvent {
    let start = TaskStart::of(cell, request);
    if let Err(error) = client.start(&start) {
        debug!(step = "start task", peer = %request.worker, task = %request.task, ?error, "start request failed");
    }
    CellEvent::StartAnswered(request.worker.clone())
}

fn stop_task(client: &WorkerClient, cell: CellNumber, request: &AttemptStop) {
    let stop = TaskStop::of(cell, request);
    if let Err(error) = client.stop(&stop) {
        debug!(step = "stop task", peer = %request.worker, task = %request.task, ?error, "stop request failed");
    }
}

/// A failed throttle needs no event: the next report does not show the throttle, and it is
/// requested again.
fn throttle_task(client: &WorkerClient, cell: CellNumber, request: &ThrottleRequest) {
    let throttle = TaskThrottle::of(cell, request);
    if let Err(error) = client.throttle(&throttle) {
        debug!(step = "throttle task", peer = %request.worker, task = %request.task, ?error, "throttle request failed");
    }
}

fn is_stale_epoch(error: &Report<WorkerError>) -> bool {
    matches!(
        error.current_context(),
        WorkerError::Refused(WorkerRefusal::StaleEpoch { .. })
    )
}
