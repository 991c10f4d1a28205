//! Calls to workers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Sender;
use sapphirestile_jobs::PollRequest;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StartRequest;

use crate::owner::ElasticPool;
use crate::owner::OwnerEvent;
use crate::owner::WorkerOrder;
use crate::ports::WorkerPort;

/// A start that has waited for so long behind others is not sent any more: what it
/// rests on may have changed.
const START_WAIT_MAX: Duration = Duration::from_millis(400);

/// The most looks at a time. Each waits for an end at its worker; more workers than
/// this are looked at in turn.
const LOOKS_MAX: usize = 400;

/// The most orders at a time, of starts and of others.
const ORDERS_MAX: usize = 120;

/// Calls to workers. Looks, starts and other orders have threads of their own, so
/// that workers that do not answer a start hold up no stop and no look.
pub struct WorkerCalls {
    port: Arc<dyn WorkerPort>,
    events: Sender<OwnerEvent>,
    looks: ElasticPool,
    starts: ElasticPool,
    orders: ElasticPool,
    /// Whether the ownership is over, and what still waits is not sent any more.
    is_over: Arc<AtomicBool>,
}

impl WorkerCalls {
    /// Calls through `port`, whose outcomes are sent as events.
    pub fn new(port: Arc<dyn WorkerPort>, events: Sender<OwnerEvent>) -> Self {
        Self {
            port,
            events,
            looks: ElasticPool::new("look at worker", LOOKS_MAX),
            starts: ElasticPool::new("start at worker", ORDERS_MAX),
            orders: ElasticPool::new("order worker", ORDERS_MAX),
            is_over: Arc::default(),
        }
    }

    /// Sends a look on its way.
    pub fn look(&self, order: PollRequest) {
        self.run(&self.looks, |port| Some(carry_look(port, order)));
    }

    /// Sends a start on its way.
    pub fn start(&self, order: StartRequest) {
        let since = Instant::now();
        self.run(&self.starts, move |port| {
            Some(carry_start(port, order, since))
        });
    }

    /// Sends another order on its way.
    pub fn order(&self, order: WorkerOrder) {
        self.run(&self.orders, |port| carry_order(port, order));
    }

    fn run(
        &self,
        pool: &ElasticPool,
        carry: impl FnOnce(&dyn WorkerPort) -> Option<OwnerEvent> + Send + 'static,
    ) {
        let (port, events) = (Arc::clone(&self.port), self.events.clone());
        let is_over = Arc::clone(&self.is_over);
        pool.run(move || {
            if is_over.load(Ordering::Acquire) {
                return;
            }
            if let Some(event) = carry(&*port) {
                // Nobody listens any more once the ownership is over.
                let _ = events.send(event);
            }
        });
    }
}

impl Drop for WorkerCalls {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Release);
    }
}

fn carry_look(port: &dyn WorkerPort, order: PollRequest) -> OwnerEvent {
    let outcome = port.look(&order);
    OwnerEvent::Looked {
        worker: order.worker,
        number: order.number,
        outcome,
    }
}

fn carry_start(port: &dyn WorkerPort, order: StartRequest, since: Instant) -> OwnerEvent {
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
