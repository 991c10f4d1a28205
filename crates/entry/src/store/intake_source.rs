//! Source of callers' requests, and of tasks that other cells transfer.

use std::sync::Arc;
use std::time::Duration;

use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::TaskProgress;

use crate::ports::EventListing;
use crate::ports::EventSource;
use crate::ports::RowChange;
use crate::ports::StoreCallError;
use crate::ports::StoredRow;
use crate::store::EarlyCancellation;
use crate::store::IntakeEvent;
use crate::store::RowCodec;
use crate::store::RowKeys;
use crate::store::TransferRow;

/// Reads submissions and cancellations from the intake rows, which the daemons write
/// for callers, and the tasks that other owners transfer to the cell.
pub struct IntakeSource {
    rows: Arc<dyn EventSource<RowChange>>,
}

impl IntakeSource {
    /// Creates the source from a source of intake rows.
    #[must_use]
    pub fn new(rows: Arc<dyn EventSource<RowChange>>) -> Self {
        Self { rows }
    }
}

impl EventSource<IntakeEvent> for IntakeSource {
    fn name(&self) -> &'static str {
        "intake"
    }

    fn list(&self) -> Result<EventListing<IntakeEvent>, StoreCallError> {
        Ok(self.rows.list()?.filter_map(read_event))
    }

    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<EventListing<IntakeEvent>, StoreCallError> {
        Ok(self.rows.watch(after, wait)?.filter_map(read_event))
    }
}

/// Decodes a changed row. Removals are ignored: the owner removes the rows of jobs that
/// are no longer retained.
fn read_event(change: &RowChange) -> Option<IntakeEvent> {
    let RowChange::Written(row) = change else {
        return None;
    };
    if let Some(identity) = RowKeys::cancelled_identity_of(&row.key) {
        return Some(read_cancellation(identity, row));
    }
    let read = if RowKeys::is_delegated(&row.key) {
        read_delegated(row)
    } else if RowKeys::is_returned(&row.key) {
        read_returned(row)
    } else {
        read_spec(row)
    };
    read.or_else(|| {
        tracing::error!(key = row.key, "cannot decode an intake row");
        RowKeys::intake_identity_of(&row.key).map(IntakeEvent::Unreadable)
    })
}

fn read_delegated(row: &StoredRow) -> Option<IntakeEvent> {
    let task = TransferRow::decode_delegated(&row.value)?;
    task.spec.check().ok()?;
    (task.run <= TaskProgress::STORED_RUN_MAX).then(|| IntakeEvent::Delegated(Box::new(task)))
}

fn read_returned(row: &StoredRow) -> Option<IntakeEvent> {
    let task = TransferRow::decode_returned(&row.value)?;
    (task.run <= TaskProgress::STORED_RUN_MAX).then_some(IntakeEvent::Returned(task))
}

fn read_cancellation(identity: JobIdentity, row: &StoredRow) -> IntakeEvent {
    if EarlyCancellation::is_early(&row.value) {
        return IntakeEvent::CancelledEarly {
            identity,
            revision: row.revision,
        };
    }
    IntakeEvent::Cancelled(identity)
}

fn read_spec(row: &StoredRow) -> Option<IntakeEvent> {
    let identity = RowKeys::identity_of(&row.key)?;
    let spec: JobSpec = RowCodec::decode(&row.value)?;
    spec.check().ok()?;
    Some(IntakeEvent::Submitted {
        identity,
        spec,
        revision: row.revision,
    })
}
