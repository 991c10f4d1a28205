//! Carries out the effects that the owner requests.

use std::sync::Arc;

use crossbeam::channel::Sender;
use sapphirestile_jobs::OwnerEffect;

use crate::owner::AdvisorThread;
use crate::owner::OwnerAdapters;
use crate::owner::OwnerEvent;
use crate::owner::RunControl;
use crate::owner::WorkerCalls;
use crate::ports::WorkerPort;

/// Passes the effects that the owner requests to the threads that call workers and the
/// advisor.
pub struct EffectDispatcher {
    port: Arc<dyn WorkerPort>,
    calls: WorkerCalls,
    advisor: AdvisorThread,
}

impl EffectDispatcher {
    /// Creates a dispatcher that sends the outcomes as events.
    pub fn new(adapters: &OwnerAdapters, events: &Sender<OwnerEvent>) -> Self {
        let port = Arc::clone(&adapters.calls);
        Self {
            calls: WorkerCalls::new(Arc::clone(&port), events.clone()),
            port,
            advisor: AdvisorThread::spawn(adapters.advice.clone(), events.clone()),
        }
    }

    /// Queues one effect.
    pub fn dispatch(&self, effect: OwnerEffect) {
        match effect {
            OwnerEffect::Poll(order) => self.calls.poll(order),
            OwnerEffect::Start(order) => self.calls.start(order),
            OwnerEffect::Stop(order) => self.calls.control(RunControl::Stop(order)),
            OwnerEffect::Pace(order) => self.calls.control(RunControl::Pace(order)),
            OwnerEffect::Advise(order) => self.advisor.ask(order),
            OwnerEffect::Forget { address, .. } => {
                if let Some(address) = address {
                    self.port.close_connections(address);
                }
            }
        }
    }
}
