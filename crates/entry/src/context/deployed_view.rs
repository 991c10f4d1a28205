//! What operators want, as this daemon knows it.

use std::sync::Arc;

use sapphirestile_core::ZoneName;
use sapphirestile_jobs::DeployedConfig;
use sapphirestile_jobs::OperatorEvent;

/// What operators want, as this daemon knows it.
#[derive(Clone, Debug, Default)]
pub struct DeployedView {
    /// The configuration in force, once there is one.
    pub config: Option<Arc<DeployedConfig>>,
    /// The availability zones that get no new tasks.
    pub zones_out: Vec<ZoneName>,
}

impl DeployedView {
    /// The view after a change. A configuration older than the one in force changes
    /// nothing.
    #[must_use]
    pub fn changed(&self, event: &OperatorEvent) -> Self {
        let mut view = self.clone();
        match event {
            OperatorEvent::Configured(config) => {
                let in_force = view.config.as_ref().map_or(0, |config| config.version);
                if config.version > in_force {
                    view.config = Some(Arc::new(config.clone()));
                }
            }
            OperatorEvent::ZoneOut(zone) => {
                if !view.zones_out.contains(zone) {
                    view.zones_out.push(zone.clone());
                }
            }
            OperatorEvent::ZoneBack(zone) => view.zones_out.retain(|out| out != zone),
        }
        view
    }

    /// The view after a whole listing: zones that it does not name are back.
    #[must_use]
    pub fn replaced(&self, events: &[OperatorEvent]) -> Self {
        let mut view = self.clone();
        view.zones_out.clear();
        events.iter().fold(view, |view, event| view.changed(event))
    }
}
