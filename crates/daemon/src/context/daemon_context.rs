//! The context of a daemon.

use std::sync::Arc;

use crossbeam::channel::Sender;

use crate::callers::TrafficTable;
use crate::cells::KeeperDirectory;
use crate::context::MonoClock;
use crate::context::PhaseGauge;
use crate::context::RcuValue;
use crate::context::RefusalLog;
use crate::context::StorePulse;
use crate::document::ActiveDocument;
use crate::members::MemberTable;
use crate::members::WATCH_WAIT_MS;
use crate::metrics::DaemonMetrics;
use crate::settings::DaemonSettings;
use crate::tokens::GaugeTable;
use crate::tokens::LedgerRow;
use crate::tokens::TokenEvent;
use crate::vms::VmTable;
use sapphirestile_cells::CellMap;
use sapphirestile_clients::http::ConnectionTable;
use sapphirestile_clients::store::StoreClient;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;
use sapphirestile_routing::PublishedTable;
use sapphirestile_wire::peer::FrameKey;

const SLOW_CALLS: u64 = 2;

/// What all operations of one daemon share.
pub struct DaemonContext {
    /// The checked settings.
    pub settings: DaemonSettings,
    /// This life of the daemon.
    pub identity: DaemonIdentity,
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
    pub document: RcuValue<ActiveDocument>,
    /// The daemons.
    pub members: RcuValue<MemberTable>,
    /// The platform's VMs.
    pub vms: RcuValue<VmTable>,
    /// The cells owned here.
    pub keepers: RcuValue<KeeperDirectory>,
    /// The ledger of tokens.
    pub ledger: RcuValue<LedgerRow>,
    /// The gauges of runners.
    pub gauges: GaugeTable,
    /// What the requests of each service move.
    pub traffic: TrafficTable,
    /// Events of the thread that owns the tokens.
    pub token_events: Sender<TokenEvent>,
    /// Connections to runners and workers.
    pub connections: ConnectionTable,
    /// Counters and histograms.
    pub metrics: DaemonMetrics,
    /// The runners of each service.
    pub routes: PublishedTable,
    /// The latest requests that were not answered.
    pub refusals: RefusalLog,
}

impl DaemonContext {
    /// Which cell is whose; nothing before the first document.
    #[must_use]
    pub fn map(&self) -> Option<CellMap> {
        let document = self.document.load();
        let known = document.stored().is_some();
        known.then(|| CellMap::new(document.document().cells.count))
    }

    /// Whether the store has answered lately.
    #[must_use]
    pub fn store_reachable(&self, now: MonoTime) -> bool {
        self.pulse.silent_ms(now) < self.store_patience_ms()
    }

    /// How long the store may be silent before it counts as away, in milliseconds.
    ///
    /// The shared watch, when nothing changes, hears from it every
    /// [`WATCH_WAIT_MS`]; it and the call before it may both take their longest.
    #[must_use]
    pub const fn store_patience_ms(&self) -> u64 {
        WATCH_WAIT_MS + SLOW_CALLS * self.settings.limits.store_timeout_ms
    }
}
