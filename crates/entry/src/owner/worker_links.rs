//! The ways to all workers.

use std::sync::Arc;

use crossbeam::channel::Sender;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::OwnerEffect;

use crate::owner::OwnerEvent;
use crate::owner::WorkerLink;
use crate::owner::WorkerOrder;
use crate::ports::WorkerPort;

/// The ways to all workers, opened when they are first needed.
pub struct WorkerLinks {
    links: SortedTable<WorkerName, WorkerLink>,
    port: Arc<dyn WorkerPort>,
    events: Sender<OwnerEvent>,
}

impl WorkerLinks {
    /// No way yet.
    pub const fn new(port: Arc<dyn WorkerPort>, events: Sender<OwnerEvent>) -> Self {
        Self {
            links: SortedTable::new(),
            port,
            events,
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
        } = self;
        links.get_or_insert_with(worker.clone(), || WorkerLink::open(worker, port, events))
    }
}
