//! What an owner reads and calls.

use std::sync::Arc;

use sapphirestile_jobs::WorkerEvent;

use crate::ports::AdvicePort;
use crate::ports::EventSource;
use crate::ports::WorkerPort;
use crate::store::IntakeEvent;

/// What an owner reads and calls beside the store.
#[derive(Clone)]
pub struct RunSources {
    /// What callers want.
    pub intake: Arc<dyn EventSource<IntakeEvent>>,
    /// The list of workers.
    pub workers: Arc<dyn EventSource<WorkerEvent>>,
    /// The workers themselves.
    pub calls: Arc<dyn WorkerPort>,
    /// The advisor, if there is one.
    pub advice: Option<Arc<dyn AdvicePort>>,
}
