//! The first steps of a daemon's startup.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;
use error_stack::Report;

use crate::callers::TrafficTable;
use crate::context::AtomicPhase;
use crate::context::DaemonContext;
use crate::context::MonoClock;
use crate::context::RcuValue;
use crate::context::RefusalLog;
use crate::context::StoreContact;
use crate::lifecycle::daemon_threads::peer_address;
use crate::members::MemberRecord;
use crate::members::MemberRegistration;
use crate::metrics::DaemonMetrics;
use crate::settings::DaemonSettings;
use crate::tokens::GaugeTable;
use crate::tokens::TokenEvent;
use sapphirestile_clients::http::ConnectionTable;
use sapphirestile_clients::store::EtcdClient;
use sapphirestile_clients::store::StoreClient;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::StepError;
use sapphirestile_routing::PublishedTable;
use sapphirestile_wire::peer::FrameKey;

pub(super) fn open_store(
    settings: &DaemonSettings,
) -> Result<Arc<dyn StoreClient>, Report<StepError>> {
    let peer = peer_address(settings.platform.store, "find store")?;
    let timeout = Duration::from_millis(settings.limits.store_timeout_ms);
    Ok(Arc::new(EtcdClient::new(peer, timeout)))
}

/// Registers the daemon and returns its identity with a new incarnation. While the store
/// is unreachable, this blocks and tries again.
pub(super) fn register(store: &dyn StoreClient, settings: &DaemonSettings) -> DaemonIdentity {
    let daemon = settings.node.name.clone();
    let record = MemberRecord {
        zone: settings.node.zone.clone(),
        address: settings.node.peers,
        nonce: rand::random(),
    };
    let incarnation = MemberRegistration::new(store, daemon.as_str()).register(&record);
    DaemonIdentity {
        daemon,
        incarnation,
    }
}

pub(super) fn new_context(
    settings: DaemonSettings,
    identity: DaemonIdentity,
    store: Arc<dyn StoreClient>,
    token_events: Sender<TokenEvent>,
) -> DaemonContext {
    let frame_key = FrameKey::new(settings.peering.key.as_bytes());
    DaemonContext {
        settings,
        identity,
        clock: MonoClock::start(),
        store,
        store_contact: StoreContact::default(),
        frame_key,
        phase: AtomicPhase::default(),
        document: RcuValue::default(),
        members: RcuValue::default(),
        vms: RcuValue::default(),
        keepers: RcuValue::default(),
        ledger: RcuValue::default(),
        gauges: GaugeTable::default(),
        traffic: TrafficTable::default(),
        token_events,
        connections: ConnectionTable::new(),
        metrics: DaemonMetrics::default(),
        routes: PublishedTable::default(),
        refusals: RefusalLog::default(),
    }
}
