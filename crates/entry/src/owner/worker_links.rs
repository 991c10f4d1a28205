//! The ways to all workers.

use std::sync::Arc;

use crossbeam::channel::Sender;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::OwnerEffect;

use crate::owner::AdviceLink;
use crate::owner::OwnerEvent;
use crate::owner::RunSources;
use crate::owner::WorkerLink;
use crate::owner::WorkerOrder;
use crate::ports::WorkerPort;

/// The ways to the advisor and to all workers, the latter opened when they are first
/// needed.
pub struct WorkerLinks {
    links: SortedTable<WorkerName, WorkerLink>,
    port: Arc<dyn WorkerPort>,
    advice: AdviceLink,
    events: Sender<OwnerEvent>,
}

impl WorkerLinks {
    /// The way to the advisor, and none to workers yet.
    pub fn new(sources: &RunSources, events: &Sender<OwnerEvent>) -> Self {
        Self {
            links: SortedTable::new(),
            port: Arc::clone(&sources.calls),
            advice: AdviceLink::open(sources.advice.clone(), events.clone()),
            events: events.clone(),
        }
    }

    /// Has an effect carried out.
    pub fn carry_out(&mut self, effect: OwnerEffect) {
        match effect {
            OwnerEffect::Look(order) => self.link(&order.worker.clone()).look(order),
            OwnerEffect::Start(order) => {
                let worker = order.worker.clone();
                self.link(&worker).start(order);
            }
            OwnerEffect::Stop(order) => {
                let worker = order.worker.clone();
                self.link(&worker).order(WorkerOrder::Stop(order));
            }
            OwnerEffect::Pace(order) => {
                let worker = order.worker.clone();
                self.link(&worker).order(WorkerOrder::Pace(order));
            }
            OwnerEffect::Advise(order) => self.advice.ask(order),
            OwnerEffect::Forget { worker, address } => {
                self.links.remove(&worker);
                if let Some(address) = address {
                    self.port.forget(address);
                }
            }
        }
    }

    fn link(&mut self, worker: &WorkerName) -> &WorkerLink {
        let Self {
            links,
            port,
            events,
            ..
        } = self;
        links.get_or_insert_with(worker.clone(), || WorkerLink::open(worker, port, events))
    }
}
