//! Threads that call lenders of quotas.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use tracing::debug;

use crate::cells::CellDesk;
use crate::cells::KeeperEvent;
use crate::cells::ShareCall;
use crate::context::DaemonContext;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerRequest;

const POOL_THREADS: usize = 8;

/// Calls lenders beside the keepers' threads. A keeper has one call to each
/// lender under way at a time, which bounds the queue.
#[derive(Clone)]
pub struct SharePool {
    calls: Sender<ShareCall>,
}

impl SharePool {
    /// Starts the pool's threads. They end when the last handle is dropped.
    #[must_use]
    pub fn start(context: &Arc<DaemonContext>) -> Self {
        let (calls, queue) = unbounded();
        for _ in 0..POOL_THREADS {
            let context = Arc::clone(context);
            let queue = queue.clone();
            thread::spawn(move || serve(&context, &queue));
        }
        Self { calls }
    }

    /// Queues a call.
    pub fn call(&self, call: ShareCall) {
        // The pool's threads outlive every handle, so the queue is never closed.
        let _queued = self.calls.send(call);
    }
}

fn serve(context: &DaemonContext, queue: &Receiver<ShareCall>) {
    for ShareCall { order, events } in queue {
        let lender = order.lender;
        let request = PeerRequest::ReportShares(lender, order.report);
        let event = match CellDesk::new(context).call(lender, request) {
            PeerAnswer::Shares(answers) => KeeperEvent::SharesLent { lender, answers },
            answer => {
                debug!(step = "report shares", %lender, ?answer, "answer lost");
                KeeperEvent::SharesLost { lender }
            }
        };
        // The keeper may have ended meanwhile.
        let _taken = events.send(event);
    }
}
