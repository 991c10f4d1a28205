//! The operators' configuration and zone states as known to this daemon.

use std::sync::Arc;

use sapphirestile_core::ZoneName;
use sapphirestile_jobs::DeployedConfig;
use sapphirestile_jobs::OperatorEvent;

/// The latest configuration and zone states that operators have deployed, as known to
/// this daemon.
#[derive(Clone, Debug, Default)]
pub struct OperatorState {
    /// The configuration in effect; `None` until the first one is read.
    pub config: Option<Arc<DeployedConfig>>,
    /// The availability zones that are taken out of service: no new tasks start there.
    pub zones_out: Vec<ZoneName>,
}

impl OperatorState {
    /// Returns the state with `event` applied. A configuration whose version is not
    /// higher than the one in effect is ignored.
    #[must_use]
    pub fn with_event(&self, event: &OperatorEvent) -> Self {
        let mut state = self.clone();
        match event {
            OperatorEvent::Configured(config) => {
                let current_version = state.config.as_ref().map_or(0, |config| config.version);
                if config.version > current_version {
                    state.config = Some(Arc::new(config.clone()));
                }
            }
            OperatorEvent::ZoneOut(zone) => {
                if !state.zones_out.contains(zone) {
                    state.zones_out.push(zone.clone());
                }
            }
            OperatorEvent::ZoneBack(zone) => state.zones_out.retain(|out| out != zone),
        }
        state
    }

    /// Returns the state with a complete listing applied: zones that the listing does
    /// not contain are back in service.
    #[must_use]
    pub fn with_listing(&self, events: &[OperatorEvent]) -> Self {
        let mut state = self.clone();
        state.zones_out.clear();
        events
            .iter()
            .fold(state, |state, event| state.with_event(event))
    }
}
