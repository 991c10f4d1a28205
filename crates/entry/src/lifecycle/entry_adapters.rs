//! The adapters that connect a daemon to the platform.

use std::sync::Arc;

use sapphirestile_jobs::OperatorEvent;
use sapphirestile_serving::HttpService;

use crate::owner::OwnerAdapters;
use crate::ports::EventSource;

/// The adapters that connect a daemon to the platform, except for its store.
pub struct EntryAdapters {
    /// Source of the operators' configuration and zone states.
    pub operators: Arc<dyn EventSource<OperatorEvent>>,
    /// Source of the versions of the configuration that this daemon reads from copies.
    pub copies: Arc<dyn EventSource<OperatorEvent>>,
    /// The adapters that only owners of cells use.
    pub owner: OwnerAdapters,
    /// The HTTP service on the callers' port.
    pub callers: Arc<dyn HttpService>,
    /// The HTTP service on the readiness port.
    pub ready: Arc<dyn HttpService>,
}
