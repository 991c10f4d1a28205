//! Requests to the advisor.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use sapphirestile_jobs::AdviceOutcome;
use sapphirestile_jobs::AdviceRequest;

use crate::owner::OwnerEvent;
use crate::ports::AdvicePort;

/// A thread that sends requests to the advisor one at a time. If the settings name no
/// advisor, every request ends without advice.
pub struct AdvisorThread {
    requests: Sender<AdviceRequest>,
}

impl AdvisorThread {
    /// Starts the thread. It ends once this value is dropped.
    ///
    /// # Panics
    ///
    /// When the operating system cannot create a thread.
    pub fn spawn(port: Option<Arc<dyn AdvicePort>>, events: Sender<OwnerEvent>) -> Self {
        let (requests, queue) = unbounded::<AdviceRequest>();
        let builder = thread::Builder::new().name("ask advisor".to_owned());
        let spawned = builder.spawn(move || {
            for request in queue {
                let outcome = ask(port.as_deref(), &request);
                let event = OwnerEvent::Advised { request, outcome };
                if events.send(event).is_err() {
                    return;
                }
            }
        });
        spawned.expect("failed to spawn the advisor thread");
        Self { requests }
    }

    /// Queues a request.
    pub fn ask(&self, request: AdviceRequest) {
        // Sending cannot fail: the thread runs until this value is dropped.
        let _ = self.requests.send(request);
    }
}

fn ask(port: Option<&dyn AdvicePort>, request: &AdviceRequest) -> AdviceOutcome {
    let Some(port) = port else {
        tracing::error!(
            step = %request.step,
            "queue requires an advisor, but the settings name none; its tasks keep waiting"
        );
        return AdviceOutcome::Unknown;
    };
    port.advise(request)
}
