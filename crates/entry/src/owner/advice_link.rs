//! The way to the advisor.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use sapphirestile_jobs::AdviceOutcome;
use sapphirestile_jobs::AdviceRequest;

use crate::owner::OwnerEvent;
use crate::ports::AdvicePort;

/// The way to the advisor: a thread that asks one question after the other. Where the
/// settings name no advisor, every question ends without an answer.
pub struct AdviceLink {
    questions: Sender<AdviceRequest>,
}

impl AdviceLink {
    /// Begins the thread of a link. It ends once the link is dropped.
    ///
    /// # Panics
    ///
    /// When the operating system gives no thread.
    pub fn open(port: Option<Arc<dyn AdvicePort>>, events: Sender<OwnerEvent>) -> Self {
        let (questions, queue) = unbounded::<AdviceRequest>();
        let builder = thread::Builder::new().name("ask advisor".to_owned());
        let spawned = builder.spawn(move || {
            for order in queue {
                let outcome = ask(port.as_deref(), &order);
                let event = OwnerEvent::Advised { order, outcome };
                if events.send(event).is_err() {
                    return;
                }
            }
        });
        spawned.expect("the operating system gives a thread");
        Self { questions }
    }

    /// Sends a question on its way.
    pub fn ask(&self, order: AdviceRequest) {
        // The thread ends only when this link is dropped.
        let _ = self.questions.send(order);
    }
}

fn ask(port: Option<&dyn AdvicePort>, order: &AdviceRequest) -> AdviceOutcome {
    let Some(port) = port else {
        tracing::error!(
            step = %order.step,
            "a queue has an advisor, and the settings name none: its tasks wait"
        );
        return AdviceOutcome::Unknown;
    };
    port.advise(order)
}
