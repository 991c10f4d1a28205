//! Loads the state that an owner starts from.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_jobs::FleetDivision;
use sapphirestile_jobs::JobOwner;
use sapphirestile_jobs::LearntTables;
use sapphirestile_jobs::OwnerLimits;
use sapphirestile_jobs::WorkerEvent;
use sapphirestile_serving::MonoClock;

use crate::context::EntryContext;
use crate::owner::IntakeGate;
use crate::owner::OwnerAdapters;
use crate::owner::OwnerEvent;
use crate::owner::OwnershipClaim;
use crate::owner::ownership_term::loaded_cell::LoadedCell;
use crate::owner::ownership_term::stored_cell::StoredCell;
use crate::ports::EventSource;
use crate::ports::ListTimeouts;
use crate::ports::StoreCallError;
use crate::store::IntakeEvent;
use crate::store::IntakeSource;
use crate::store::RowCodec;
use crate::store::RowKeys;
use crate::watching::EventWatcher;
use crate::watching::WatchUpdate;

/// The minimum time between two reads of the changes of the list of workers, each of which
/// writes its entry every second or two.
const WORKER_LIST_INTERVAL: Duration = Duration::from_millis(200);

/// The longest wait for the next bytes of a page of a listing.
const PAGE_PAUSE_MAX: Duration = Duration::from_millis(1_500);

/// The timeout of reading one row.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// The number of read attempts before the claim is given up.
const READ_ATTEMPTS_MAX: u32 = 20;

/// Loads the jobs of the cell and the list of workers after a claim, and watches both from
/// there. Returns `None` when they cannot be read.
pub fn load(
    context: &Arc<EntryContext>,
    adapters: &OwnerAdapters,
    claim: &OwnershipClaim,
    claimed: MonoTime,
    events: &Sender<OwnerEvent>,
) -> Option<LoadedCell> {
    let cell = claim.cell;
    let intake_source: Arc<dyn EventSource<IntakeEvent>> = Arc::new(IntakeSource::new(
        adapters.rows.rows(&RowKeys::intake_prefix(cell)),
    ));
    let workers = retry(context, || adapters.workers.list())?;
    let progress = retry(context, || {
        context.store.list(
            &RowKeys::progress_prefix(cell),
            ListTimeouts::each_pause(PAGE_PAUSE_MAX),
        )
    })?;
    let intake = retry(context, || intake_source.list())?;
    let bounds = &context.settings.bounds;
    let limits = OwnerLimits {
        lease_ms: OwnerLimits::LEASE_MS.min(bounds.lease_max_ms),
        lease_max_ms: bounds.lease_max_ms,
        authority_ms: OwnerLimits::AUTHORITY_MS,
        retention_ms: bounds.remember_ms,
    };
    let state = context.operator_state.load();
    let config = state.config.clone().unwrap_or_default();
    let epoch = CellEpoch::new(claim.row.epoch);
    let mut owner = JobOwner::new(
        epoch,
        limits,
        config,
        state.zones_out.clone(),
        claim.row.lease_bounds.clone(),
        claimed,
    );
    if let Some(learnt) = read_learnt(context, cell) {
        owner.restore_learnt(&learnt);
    }
    let (now, unix_ms) = (context.clock.now(), MonoClock::unix_millis());
    let revisions = (workers.revision, intake.revision);
    let present = workers.events.into_iter().filter_map(|event| match event {
        WorkerEvent::Present(entry) => Some(entry),
        WorkerEvent::Gone(_) => None,
    });
    let layout = Arc::clone(&context.cells.load().layout);
    let mut division = FleetDivision::new(cell, layout, now);
    owner.replace_workers(division.replace(present.collect(), now), now);
    let stored = StoredCell::join(intake.events, &progress.rows);
    let intake_gate = IntakeGate::without(stored.unreadable().clone());
    stored.restore_into(&mut owner, now, unix_ms);
    owner.restore_idle_tasks(&claim.row.idle_tasks, claimed);
    owner.report_restored_waits(now);
    let sources = (Arc::clone(&adapters.workers), intake_source);
    watch_sources(context, sources, revisions, events);
    Some(LoadedCell {
        owner,
        division,
        intake: intake_gate,
    })
}

/// Reads the estimates that previous owners have learnt. Without them the owner starts
/// with none.
fn read_learnt(context: &EntryContext, cell: CellNumber) -> Option<LearntTables> {
    let key = RowKeys::learnt(cell);
    let row = retry(context, || context.store.read(&key, READ_TIMEOUT))??;
    let learnt = RowCodec::decode(&row.value);
    if learnt.is_none() {
        tracing::warn!(
            row = key,
            "cannot decode the learnt estimates of the previous owner; starting without them"
        );
    }
    learnt
}

/// Watches the workers and the intake for changes after the revisions of their listings.
fn watch_sources(
    context: &Arc<EntryContext>,
    (workers, intake): (
        Arc<dyn EventSource<WorkerEvent>>,
        Arc<dyn EventSource<IntakeEvent>>,
    ),
    (workers_revision, intake_revision): (u64, u64),
    events: &Sender<OwnerEvent>,
) {
    let sender = events.clone();
    let watcher =
        EventWatcher::new(Arc::clone(context), workers).with_interval(WORKER_LIST_INTERVAL);
    watcher.spawn(Some(workers_revision), move |update| {
        forward_update(&sender, update, OwnerEvent::Workers)
    });
    let sender = events.clone();
    let watcher = EventWatcher::new(Arc::clone(context), intake);
    watcher.spawn(Some(intake_revision), move |update| {
        forward_update(&sender, update, OwnerEvent::Intake)
    });
}

/// Sends an update to the owner; false once the term is over. Empty updates are sent as
/// well, since a failed send is how the watcher notices the end of the term. They are
/// rare: one for each watch call that found no change.
fn forward_update<E>(
    sender: &Sender<OwnerEvent>,
    update: WatchUpdate<E>,
    wrap: impl Fn(WatchUpdate<E>) -> OwnerEvent,
) -> bool {
    sender.send(wrap(update)).is_ok()
}

/// Repeats a call until it succeeds; `None` after [`READ_ATTEMPTS_MAX`] attempts or when
/// the daemon stops.
fn retry<T>(
    context: &EntryContext,
    mut call: impl FnMut() -> Result<T, StoreCallError>,
) -> Option<T> {
    for _ in 0..READ_ATTEMPTS_MAX {
        let result = call();
        context.record_store_result(&result);
        if let Ok(value) = result {
            return Some(value);
        }
        if context.is_stopping() {
            return None;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    None
}
