//! A pool of threads that send share reports.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use tracing::debug;

use crate::cells::CellEvent;
use crate::cells::CellRouter;
use crate::cells::ShareCall;
use crate::context::DaemonContext;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerRequest;

const POOL_THREADS: usize = 8;

/// A pool of threads that send share reports to lenders of quotas, so that cells' actors
/// need not wait for them. An actor has at most one call to each lender in flight, which
/// bounds the queue.
#[derive(Clone)]
pub struct SharePool {
    calls: Sender<ShareCall>,
}

impl SharePool {
    /// Starts the pool's threads. They end when the last clone of the pool is dropped.
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

    /// Queues a call. Does not block.
    pub fn call(&self, call: ShareCall) {
        // Sending cannot fail: the threads outlive every clone of the pool.
        let _queued = self.calls.send(call);
    }
}

fn serve(context: &DaemonContext, queue: &Receiver<ShareCall>) {
    for ShareCall {
        lender_report,
        events,
    } in queue
    {
        let lender = lender_report.lender;
        let request = PeerRequest::ReportShares(lender, lender_report.report);
        let event = match CellRouter::new(context).call(lender, request) {
            PeerAnswer::Shares(answers) => CellEvent::SharesLent { lender, answers },
            answer => {
                debug!(step = "report shares", %lender, ?answer, "the lender did not answer with shares");
                CellEvent::SharesLost { lender }
            }
        };
        // The actor may have ended in the meantime.
        let _sent = events.send(event);
    }
}
