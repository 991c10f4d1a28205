//! Carries out the effects that the owner requests.

use std::sync::Arc;

use crossbeam::channel::Sender;
use sapphirestile_jobs::OwnerEffect;

use crate::owner::AdvisorThread;
use crate::owner::OwnerAdapters;
use crate::owner::OwnerEvent;
use crate::owner::RunControl;
use crate::owner::WorkerCalls;

/// Passes the effects that the owner requests to the threads that call workers and the
/// advisor.
pub struct EffectDispatcher {
    calls: WorkerCalls,
    advisor: AdvisorThread,
}

impl EffectDispatcher {
    /// Creates a dispatcher that sends the outcomes as events.
    pub fn new(adapters: &OwnerAdapters, events: &Sender<OwnerEvent>) -> Self {
        Self {
            calls: WorkerCalls::new(Arc::clone(&adapters.calls), events.clone()),
            advisor: AdvisorThread::spawn(adapters.advice.clone(), events.clone()),
        }
    }

    /// Queues one effect.
    pub fn dispatch(&self, effect: OwnerEffect) {
        match effect {
            OwnerEffect::Poll(request) => self.calls.poll(request),
            OwnerEffect::Start(request) => self.calls.start(request),
            OwnerEffect::Stop(request) => self.calls.control(RunControl::Stop(request)),
            OwnerEffect::Pace(request) => self.calls.control(RunControl::Pace(request)),
            OwnerEffect::Advise(request) => self.advisor.ask(request),
            OwnerEffect::Forget { address, .. } => {
                if let Some(address) = address {
                    self.calls.forget(address);
                }
            }
        }
    }
}
