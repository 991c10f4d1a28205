//! The way to one worker.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::LookOrder;
use sapphirestile_jobs::StartOrder;
use sapphirestile_jobs::StartOutcome;

use crate::owner::OwnerEvent;
use crate::owner::WorkerOrder;
use crate::ports::WorkerPort;

/// The stack of a thread that calls a worker, in bytes.
const STACK_BYTES: usize = 192 * 1_024;

/// A start that has waited for so long behind others is not sent any more: what it
/// rests on may have changed.
const START_WAIT_MAX: Duration = Duration::from_millis(400);

/// The way to one worker. A thread looks, since a look waits for an end; one carries
/// starts and one the other orders, so that a worker that does not answer a start
/// holds up no stop, and no other worker at all.
pub struct WorkerLink {
    looks: Sender<LookOrder>,
    starts: Sender<(StartOrder, Instant)>,
    orders: Sender<WorkerOrder>,
}

impl WorkerLink {
    /// Begins the threads of a link. They end once the link is dropped.
    pub fn open(
        name: &WorkerName,
        port: &Arc<dyn WorkerPort>,
        events: &Sender<OwnerEvent>,
    ) -> Self {
        let looks = spawn(format!("look {name}"), port, events, |port, order| {
            Some(carry_look(port, order))
        });
        let starts = spawn(format!("start {name}"), port, events, |port, start| {
            Some(carry_start(port, start))
        });
        let orders = spawn(format!("order {name}"), port, events, carry_order);
        Self {
            looks,
            starts,
            orders,
        }
    }

    /// Sends a look on its way.
    pub fn look(&self, order: LookOrder) {
        // The threads end only when this link is dropped.
        let _ = self.looks.send(order);
    }

    /// Sends a start on its way.
    pub fn start(&self, order: StartOrder) {
        let _ = self.starts.send((order, Instant::now()));
    }

    /// Sends another order on its way.
    pub fn order(&self, order: WorkerOrder) {
        let _ = self.orders.send(order);
    }
}

/// Begins a thread that carries orders one after the other and tells what came of
/// them.
fn spawn<T: Send + 'static>(
    name: String,
    port: &Arc<dyn WorkerPort>,
    events: &Sender<OwnerEvent>,
    carry: impl Fn(&dyn WorkerPort, T) -> Option<OwnerEvent> + Send + 'static,
) -> Sender<T> {
    let (sender, queue) = unbounded();
    let (port, events) = (Arc::clone(port), events.clone());
    let builder = thread::Builder::new().name(name).stack_size(STACK_BYTES);
    let spawned = builder.spawn(move || {
        for order in queue {
            let event = carry(&*port, order);
            if event.is_some_and(|event| events.send(event).is_err()) {
                return;
            }
        }
    });
    spawned.expect("the operating system gives a thread");
    sender
}

fn carry_look(port: &dyn WorkerPort, order: LookOrder) -> OwnerEvent {
    let outcome = port.look(&order);
    OwnerEvent::Looked {
        worker: order.worker,
        number: order.number,
        outcome,
    }
}

fn carry_start(port: &dyn WorkerPort, (order, since): (StartOrder, Instant)) -> OwnerEvent {
    let outcome = if since.elapsed() > START_WAIT_MAX {
        StartOutcome::Unsent
    } else {
        port.start(&order)
    };
    OwnerEvent::Started {
        outcome,
        worker: order.worker,
        task: order.task,
        run: order.run,
    }
}

fn carry_order(port: &dyn WorkerPort, order: WorkerOrder) -> Option<OwnerEvent> {
    match order {
        WorkerOrder::Stop(order) => Some(OwnerEvent::Stopped {
            outcome: port.stop(&order),
            worker: order.worker,
            task: order.task,
            run: order.run,
        }),
        WorkerOrder::Pace(order) => {
            if !port.pace(&order) {
                tracing::warn!(
                    task = %order.task,
                    run = order.run,
                    worker = %order.worker,
                    percent = order.percent,
                    "a worker did not take a pace"
                );
            }
            None
        }
    }
}
