//! Carries out what an owner wants done.

use std::sync::Arc;

use crossbeam::channel::Sender;
use sapphirestile_jobs::OwnerEffect;

use crate::owner::AdviceLink;
use crate::owner::OwnerEvent;
use crate::owner::RunSources;
use crate::owner::WorkerCalls;
use crate::owner::WorkerOrder;
use crate::ports::WorkerPort;

/// Carries out what an owner wants done at workers and at the advisor.
pub struct EffectCarrier {
    port: Arc<dyn WorkerPort>,
    calls: WorkerCalls,
    advice: AdviceLink,
}

impl EffectCarrier {
    /// A carrier whose outcomes are sent as events.
    pub fn new(sources: &RunSources, events: &Sender<OwnerEvent>) -> Self {
        let port = Arc::clone(&sources.calls);
        Self {
            calls: WorkerCalls::new(Arc::clone(&port), events.clone()),
            port,
            advice: AdviceLink::open(sources.advice.clone(), events.clone()),
        }
    }

    /// Has an effect carried out.
    pub fn carry_out(&self, effect: OwnerEffect) {
        match effect {
            OwnerEffect::Poll(order) => self.calls.look(order),
            OwnerEffect::Start(order) => self.calls.start(order),
            OwnerEffect::Stop(order) => self.calls.order(WorkerOrder::Stop(order)),
            OwnerEffect::Pace(order) => self.calls.order(WorkerOrder::Pace(order)),
            OwnerEffect::Advise(order) => self.advice.ask(order),
            OwnerEffect::Forget { address, .. } => {
                if let Some(address) = address {
                    self.port.forget(address);
                }
            }
        }
    }
}
