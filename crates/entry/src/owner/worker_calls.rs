//! Asynchronous calls to workers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crossbeam::channel::Sender;
use sapphirestile_core::SortedTable;
use sapphirestile_jobs::PollRequest;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StartRequest;
use sapphirestile_serving::MonoClock;
use sapphirestile_serving::RcuValue;

use crate::owner::ElasticPool;
use crate::owner::OwnerEvent;
use crate::owner::RunControl;
use crate::owner::StartWindow;
use crate::owner::WorkerLanes;
use crate::ports::WorkerPort;

/// The maximum number of concurrent polls. Each poll blocks until a run ends at its
/// worker; more workers than this are polled in turn.
const POLL_THREADS_MAX: usize = 400;

/// The maximum number of concurrent starts, and of other requests.
const REQUEST_THREADS_MAX: usize = 120;

/// Calls workers on threads of thread pools. Polls, starts and other requests have
/// separate pools, so that workers that do not answer a start delay no stop and no
/// poll. Each worker gets a limited number of orders at the same time, and its connections are
/// closed at the end of the term: other owners need them.
pub struct WorkerCalls {
    port: Arc<dyn WorkerPort>,
    events: Sender<OwnerEvent>,
    clock: MonoClock,
    polls: ElasticPool,
    starts: ElasticPool,
    controls: ElasticPool,
    /// The lanes of each worker that was called.
    lanes: RcuValue<SortedTable<SocketAddr, WorkerLanes>>,
    /// Set when the term of ownership is over; queued calls are then dropped.
    is_over: Arc<AtomicBool>,
}

impl WorkerCalls {
    /// Creates the calls over `port`, whose outcomes are sent as events.
    pub fn new(port: Arc<dyn WorkerPort>, events: Sender<OwnerEvent>) -> Self {
        Self {
            port,
            events,
            clock: MonoClock::start(),
            polls: ElasticPool::new("poll worker", POLL_THREADS_MAX),
            starts: ElasticPool::new("start at worker", REQUEST_THREADS_MAX),
            controls: ElasticPool::new("control runs", REQUEST_THREADS_MAX),
            lanes: RcuValue::default(),
            is_over: Arc::default(),
        }
    }

    /// Queues a poll.
    pub fn poll(&self, request: PollRequest) {
        // Adds the worker, whose connections are closed at the end of the term.
        let _ = self.lanes(request.address);
        let call = self.prepare(request.address, |port| Some(send_poll(port, request)));
        self.polls.run(call);
    }

    /// Queues a start.
    pub fn start(&self, request: StartRequest) {
        let clock = self.clock;
        let window = StartWindow::begin(clock.now());
        let lane = self.lanes(request.address).starts;
        let call = self.prepare(request.address, move |port| {
            Some(send_start(port, request, || window.is_open(clock.now())))
        });
        lane.run(&self.starts, call);
    }

    /// Queues a stop or a change of pace.
    pub fn control(&self, control: RunControl) {
        let lane = self.lanes(control.address()).controls;
        let call = self.prepare(control.address(), |port| send_control(port, control));
        lane.run(&self.controls, call);
    }

    /// Closes the connections to a worker that has left.
    pub fn forget(&self, address: SocketAddr) {
        self.lanes.update(|lanes| {
            let mut lanes = SortedTable::clone(lanes);
            lanes.remove(&address);
            lanes
        });
        self.port.close_connections(address);
    }

    /// The lanes of the worker at an address, which is added if it is new.
    fn lanes(&self, address: SocketAddr) -> WorkerLanes {
        if let Some(lanes) = self.lanes.load().get(&address) {
            return lanes.clone();
        }
        let fresh = WorkerLanes::new();
        self.lanes.update(|lanes| {
            let mut lanes = SortedTable::clone(lanes);
            lanes.get_or_insert_with(address, || fresh.clone());
            lanes
        });
        fresh
    }

    /// A call that is dropped if the term is over by then, and reports its outcome otherwise.
    fn prepare(
        &self,
        address: SocketAddr,
        call: impl FnOnce(&dyn WorkerPort) -> Option<OwnerEvent> + Send + 'static,
    ) -> impl FnOnce() + Send + 'static {
        let (port, events) = (Arc::clone(&self.port), self.events.clone());
        let is_over = Arc::clone(&self.is_over);
        move || {
            if is_over.load(Ordering::Acquire) {
                return;
            }
            let event = call(&*port);
            if is_over.load(Ordering::Acquire) {
                // The call may have begun just after the connections were closed.
                port.close_connections(address);
            } else if let Some(event) = event {
                // Sending fails once the term of ownership is over.
                let _ = events.send(event);
            }
        }
    }
}

impl Drop for WorkerCalls {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Release);
        let lanes = self.lanes.load();
        for address in lanes.keys() {
            self.port.close_connections(*address);
        }
        tracing::info!(
            workers = lanes.len(),
            "closed the connections to the workers of the cell"
        );
    }
}

fn send_poll(port: &dyn WorkerPort, request: PollRequest) -> OwnerEvent {
    let outcome = port.poll(&request);
    OwnerEvent::Polled {
        worker: request.worker,
        number: request.number,
        outcome,
    }
}

fn send_start(
    port: &dyn WorkerPort,
    request: StartRequest,
    is_in_time: impl Fn() -> bool,
) -> OwnerEvent {
    let outcome = if is_in_time() {
        port.start(&request)
    } else {
        StartOutcome::Unsent
    };
    OwnerEvent::Started {
        outcome,
        worker: request.worker,
        task: request.task,
        run: request.run,
    }
}

fn send_control(port: &dyn WorkerPort, control: RunControl) -> Option<OwnerEvent> {
    match control {
        RunControl::Stop(request) => Some(OwnerEvent::Stopped {
            outcome: port.stop(&request),
            worker: request.worker,
            task: request.task,
            run: request.run,
        }),
        RunControl::Pace(request) => {
            if port.pace(&request) {
                return None;
            }
            tracing::warn!(
                task = %request.task,
                run = request.run,
                worker = %request.worker,
                percent = request.percent,
                "worker did not accept a change of pace"
            );
            Some(OwnerEvent::PaceFailed(request))
        }
    }
}
