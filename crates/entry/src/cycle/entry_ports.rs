//! What a daemon is connected to.

use std::sync::Arc;

use sapphirestile_jobs::OperatorEvent;
use sapphirestile_serving::HttpService;

use crate::owner::RunSources;
use crate::ports::EventSource;

/// What a daemon is connected to beside its store.
pub struct EntryPorts {
    /// What operators want.
    pub operators: Arc<dyn EventSource<OperatorEvent>>,
    /// What an owner reads and calls.
    pub sources: RunSources,
    /// Answers callers.
    pub callers: Arc<dyn HttpService>,
    /// Says whether the daemon takes callers.
    pub ready: Arc<dyn HttpService>,
}
