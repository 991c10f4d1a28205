//! The context of a daemon.

use std::sync::Arc;

use crate::cells::KeeperDirectory;
use crate::context::MonoClock;
use crate::context::PhaseGauge;
use crate::context::StorePulse;
use crate::context::SwapHolder;
use crate::document::InForceDocument;
use crate::members::MemberTable;
use crate::members::WATCH_WAIT_MS;
use crate::metrics::DaemonMetrics;
use crate::settings::DaemonSettings;
use crate::vms::VmTable;
use sapphirestile_cells::CellMap;
use sapphirestile_cells::OwnerMark;
use sapphirestile_core::MonoTime;
use sapphirestile_platform::store::StoreClient;
use sapphirestile_routing::TableCell;
use sapphirestile_wire::peer::FrameKey;

/// What all operations of one daemon share.
pub struct DaemonContext {
    /// The checked settings.
    pub settings: DaemonSettings,
    /// This life of the daemon.
    pub mark: OwnerMark,
    /// The process's clock.
    pub clock: MonoClock,
    /// The platform's store.
    pub store: Arc<dyn StoreClient>,
    /// When the store last answered.
    pub pulse: StorePulse,
    /// The key of frames between daemons.
    pub key: FrameKey,
    /// How far the daemon's life has come.
    pub phase: PhaseGauge,
    /// The configuration in force.
    pub document: SwapHolder<InForceDocument>,
    /// The daemons.
    pub members: SwapHolder<MemberTable>,
    /// The platform's VMs.
    pub vms: SwapHolder<VmTable>,
    /// The cells owned here.
    pub keepers: SwapHolder<KeeperDirectory>,
    /// Counters and histograms.
    pub metrics: DaemonMetrics,
    /// The runners of each service.
    pub routes: TableCell,
}

impl DaemonContext {
    /// Which cell is whose; nothing before the first document.
    #[must_use]
    pub fn map(&self) -> Option<CellMap> {
        let cells = self.document.load().document().cells();
        (cells > 0).then(|| CellMap::new(cells))
    }

    /// Whether the store has answered lately. The shared watch, when nothing
    /// changes, hears from it once every [`crate::members::WATCH_WAIT_MS`].
    #[must_use]
    pub fn store_reachable(&self, now: MonoTime) -> bool {
        let patience_ms = self.settings.limits.suspect_ms + WATCH_WAIT_MS;
        self.pulse.silent_ms(now) < patience_ms
    }
}
