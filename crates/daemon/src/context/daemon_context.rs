//! State that all parts of a daemon share.

use std::sync::Arc;

use crossbeam::channel::Sender;

use crate::callers::TrafficTable;
use crate::cells::CellDirectory;
use crate::context::AtomicPhase;
use crate::context::MonoClock;
use crate::context::RcuValue;
use crate::context::RefusalLog;
use crate::context::StoreContact;
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

/// The calls to the store that may each take the full timeout before its next answer:
/// the one before the watch, and the watch itself after its wait.
const STORE_CALLS_MAX: u64 = 2;

/// State that all parts of one daemon share.
pub struct DaemonContext {
    /// The validated settings, with the port of the peers' address as bound.
    pub settings: DaemonSettings,
    /// The name of the daemon and the incarnation that its registration gave it.
    pub identity: DaemonIdentity,
    /// The monotonic clock of the process; all times of the context are its times.
    pub clock: MonoClock,
    /// The client of the platform's store.
    pub store: Arc<dyn StoreClient>,
    /// When the store last answered a call.
    pub store_contact: StoreContact,
    /// The key that seals frames between daemons, from the `[peers]` section.
    pub frame_key: FrameKey,
    /// The phase of the daemon's life cycle, set by the life cycle alone.
    pub phase: AtomicPhase,
    /// The configuration in force; empty until the first document is known.
    pub document: RcuValue<ActiveDocument>,
    /// The registered daemons, with the latest heartbeat of each.
    pub members: RcuValue<MemberTable>,
    /// The VMs of the platform's latest list, polled by one thread.
    pub vms: RcuValue<VmTable>,
    /// The cells that this daemon owns.
    pub cells: RcuValue<CellDirectory>,
    /// The token ledger as last read from the store.
    pub ledger: RcuValue<LedgerRow>,
    /// The slots of each runner: tokens held and requests in flight.
    pub gauges: GaugeTable,
    /// The traffic counters of each service.
    pub traffic: TrafficTable,
    /// Sends events to the thread that owns the tokens.
    pub token_events: Sender<TokenEvent>,
    /// Connection pools for runners and workers.
    pub connections: ConnectionTable,
    /// The metrics that the daemon exports.
    pub metrics: DaemonMetrics,
    /// The routing table: the runners of each service.
    pub routes: PublishedTable,
    /// The latest requests of callers that were refused.
    pub refusals: RefusalLog,
}

impl DaemonContext {
    /// The assignment of jobs and keys to cells; `None` until the first document is known.
    #[must_use]
    pub fn cell_map(&self) -> Option<CellMap> {
        let document = self.document.load();
        let has_document = document.stored().is_some();
        has_document.then(|| CellMap::new(document.document().cells.count))
    }

    /// Whether the store has answered within
    /// [`store_unreachable_after_ms`](Self::store_unreachable_after_ms).
    #[must_use]
    pub fn store_reachable(&self, now: MonoTime) -> bool {
        self.store_contact.silent_ms(now) < self.store_unreachable_after_ms()
    }

    /// The time without an answer after which the store counts as unreachable, in
    /// milliseconds.
    ///
    /// While nothing changes, the only answer comes from the shared watch, every
    /// [`WATCH_WAIT_MS`]; the watch and the call before it may both take the full
    /// timeout.
    #[must_use]
    pub const fn store_unreachable_after_ms(&self) -> u64 {
        WATCH_WAIT_MS + STORE_CALLS_MAX * self.settings.limits.store_timeout_ms
    }
}
