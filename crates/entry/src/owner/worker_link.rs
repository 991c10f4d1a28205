//! The way to one worker.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::LookOrder;

use crate::owner::OwnerEvent;
use crate::owner::WorkerOrder;
use crate::ports::WorkerPort;

/// The stack of a thread that calls a worker, in bytes.
const STACK_BYTES: usize = 192 * 1_024;

/// The way to one worker: a thread that looks, since a look waits for an end, and
/// one that carries orders, so that a worker that does not answer holds up no other.
pub struct WorkerLink {
    looks: Sender<LookOrder>,
    orders: Sender<WorkerOrder>,
}

impl WorkerLink {
    /// Begins the threads of a link. They end once the link is dropped.
    pub fn open(
        name: &WorkerName,
        port: &Arc<dyn WorkerPort>,
        events: &Sender<OwnerEvent>,
    ) -> Self {
        let (looks, look_queue) = unbounded();
        let (orders, order_queue) = unbounded();
        let (port_of_looks, events_of_looks) = (Arc::clone(port), events.clone());
        spawn(format!("look {name}"), move || {
            carry_looks(&look_queue, &*port_of_looks, &events_of_looks);
        });
        let (port, events) = (Arc::clone(port), events.clone());
        spawn(format!("order {name}"), move || {
            carry_orders(&order_queue, &*port, &events);
        });
        Self { looks, orders }
    }

    /// Sends a look on its way.
    pub fn look(&self, order: LookOrder) {
        // The thread ends only when this link is dropped.
        let _ = self.looks.send(order);
    }

    /// Sends an order on its way.
    pub fn order(&self, order: WorkerOrder) {
        let _ = self.orders.send(order);
    }
}

fn spawn(name: String, body: impl FnOnce() + Send + 'static) {
    let builder = thread::Builder::new().name(name).stack_size(STACK_BYTES);
    builder
        .spawn(body)
        .expect("the operating system gives a thread");
}

fn carry_looks(queue: &Receiver<LookOrder>, port: &dyn WorkerPort, events: &Sender<OwnerEvent>) {
    for order in queue {
        let outcome = port.look(&order);
        let event = OwnerEvent::Looked {
            worker: order.worker,
            number: order.number,
            outcome,
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

fn carry_orders(queue: &Receiver<WorkerOrder>, port: &dyn WorkerPort, events: &Sender<OwnerEvent>) {
    for order in queue {
        let event = match order {
            WorkerOrder::Start(order) => OwnerEvent::Started {
                outcome: port.start(&order),
                worker: order.worker,
                task: order.task,
                run: order.run,
            },
            WorkerOrder::Stop(order) => OwnerEvent::Stopped {
                outcome: port.stop(&order),
                worker: order.worker,
                task: order.task,
                run: order.run,
            },
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
                continue;
            }
        };
        if events.send(event).is_err() {
            return;
        }
    }
}
