//! Reads what an owner begins from.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobOwner;
use sapphirestile_jobs::JobProgress;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::LearntTables;
use sapphirestile_jobs::OwnerLimits;
use sapphirestile_jobs::StoredJob;
use sapphirestile_jobs::WorkerEvent;
use sapphirestile_serving::MonoClock;

use crate::context::EntryContext;
use crate::following::EventFollower;
use crate::following::FollowedEvent;
use crate::owner::OwnedHead;
use crate::owner::OwnerEvent;
use crate::owner::RunSources;
use crate::ports::EventListing;
use crate::ports::StoreFault;
use crate::store::IntakeEvent;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// How long a lease is that a look or a start gives, in milliseconds: longer than a
/// daemon takes to notice that the owner is gone, so that work outlives its owner.
const LEASE_MS: u64 = 5_000;

/// How long after a stored batch leases may still end, in milliseconds: work goes on
/// through a store that is away for some seconds.
const AUTHORITY_MS: u64 = 12_000;

/// The longest that reading one row may take.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// How many times reading is tried before the claim is given up.
const TRIES_MAX: u32 = 20;

/// Reads the jobs and the list of workers after a claim, and follows both from there.
pub fn load(
    context: &Arc<EntryContext>,
    sources: &RunSources,
    head: &OwnedHead,
    claimed: MonoTime,
    events: &Sender<OwnerEvent>,
) -> Option<JobOwner> {
    let workers = retry(context, || sources.workers.list())?;
    let records = retry(context, || context.store.list(RowKeys::records()))?;
    let intake = retry(context, || sources.intake.list())?;
    let bounds = &context.settings.bounds;
    let limits = OwnerLimits {
        lease_ms: LEASE_MS.min(bounds.lease_max_ms),
        lease_max_ms: bounds.lease_max_ms,
        authority_ms: AUTHORITY_MS,
        retention_ms: bounds.remember_ms,
    };
    let view = context.deployed.load();
    let config = view.config.clone().unwrap_or_default();
    let epoch = CellEpoch::new(head.row.epoch);
    let mut owner = JobOwner::new(epoch, limits, config, view.zones_out.clone(), claimed);
    if let Some(learnt) = read_learnt(context) {
        owner.restore_learnt(&learnt);
    }
    let (now, unix_ms) = (context.clock.now(), MonoClock::unix_millis());
    let revisions = (workers.revision, intake.revision);
    let present = workers.events.into_iter().filter_map(|event| match event {
        WorkerEvent::Present(entry) => Some(entry),
        WorkerEvent::Gone(_) => None,
    });
    owner.replace_workers(present.collect(), now);
    let records: SortedTable<JobIdentity, JobProgress> = records
        .rows
        .iter()
        .filter_map(|row| {
            Some((
                RowKeys::identity_of(&row.key)?,
                RowCodec::decode(&row.value)?,
            ))
        })
        .collect();
    for stored in join_jobs(intake, &records) {
        owner.restore_job(stored, now, unix_ms);
    }
    follow(context, sources, revisions, events);
    Some(owner)
}

/// What the owner before has learnt. An owner that cannot read it learns anew.
fn read_learnt(context: &EntryContext) -> Option<LearntTables> {
    let row = retry(context, || {
        context.store.read(RowKeys::learnt(), READ_TIMEOUT)
    })??;
    let learnt = RowCodec::decode(&row.value);
    if learnt.is_none() {
        tracing::warn!(
            row = RowKeys::learnt(),
            "what was learnt before cannot be read"
        );
    }
    learnt
}

fn join_jobs(
    intake: EventListing<IntakeEvent>,
    records: &SortedTable<JobIdentity, JobProgress>,
) -> Vec<StoredJob> {
    let mut orders: Vec<(JobIdentity, JobSpec)> = Vec::new();
    let mut cancelled: SortedTable<JobIdentity, ()> = SortedTable::new();
    for event in intake.events {
        match event {
            IntakeEvent::Ordered { identity, order } => orders.push((identity, order)),
            IntakeEvent::Cancelled(identity) => {
                cancelled.insert(identity, ());
            }
        }
    }
    let join = |(identity, order): (JobIdentity, JobSpec)| StoredJob {
        identity,
        spec: order,
        progress: records.get(&identity).cloned(),
        is_cancelled: cancelled.contains(&identity),
    };
    orders.into_iter().map(join).collect()
}

fn follow(
    context: &Arc<EntryContext>,
    sources: &RunSources,
    (workers, intake): (u64, u64),
    events: &Sender<OwnerEvent>,
) {
    let sender = events.clone();
    let follower = EventFollower::new(Arc::clone(context), Arc::clone(&sources.workers));
    follower.spawn(Some(workers), move |event| {
        send_unless_empty(&sender, event, OwnerEvent::Workers)
    });
    let sender = events.clone();
    let follower = EventFollower::new(Arc::clone(context), Arc::clone(&sources.intake));
    follower.spawn(Some(intake), move |event| {
        send_unless_empty(&sender, event, OwnerEvent::Intake)
    });
}

/// Sends an event; false once the owner's run is over. Also an event that says
/// nothing is sent, which finds that out; it comes once in a watch's wait.
fn send_unless_empty<E>(
    sender: &Sender<OwnerEvent>,
    event: FollowedEvent<E>,
    wrap: impl Fn(FollowedEvent<E>) -> OwnerEvent,
) -> bool {
    sender.send(wrap(event)).is_ok()
}

fn retry<T>(context: &EntryContext, mut call: impl FnMut() -> Result<T, StoreFault>) -> Option<T> {
    for _ in 0..TRIES_MAX {
        let result = call();
        context.note_store(&result);
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
