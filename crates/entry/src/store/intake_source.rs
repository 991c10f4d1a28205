//! Reads what callers want.

use std::sync::Arc;
use std::time::Duration;

use crate::ports::EventListing;
use crate::ports::EventSource;
use crate::ports::RowChange;
use crate::ports::StoreFault;
use crate::ports::StoredRow;
use crate::store::IntakeEvent;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// Reads orders and cancellations from the rows that daemons store for callers.
pub struct IntakeSource {
    rows: Arc<dyn EventSource<RowChange>>,
}

impl IntakeSource {
    /// Reads them from a source of the intake's rows.
    #[must_use]
    pub fn new(rows: Arc<dyn EventSource<RowChange>>) -> Self {
        Self { rows }
    }
}

impl EventSource<IntakeEvent> for IntakeSource {
    fn name(&self) -> &'static str {
        "intake"
    }

    fn list(&self) -> Result<EventListing<IntakeEvent>, StoreFault> {
        Ok(self.rows.list()?.read(read_event))
    }

    fn watch(&self, after: u64, wait: Duration) -> Result<EventListing<IntakeEvent>, StoreFault> {
        Ok(self.rows.watch(after, wait)?.read(read_event))
    }
}

/// What a changed row says. An owner removes the rows of jobs that it forgets, which
/// says nothing.
fn read_event(change: &RowChange) -> Option<IntakeEvent> {
    let RowChange::Written(row) = change else {
        return None;
    };
    if let Some(identity) = RowKeys::cancelled_identity_of(&row.key) {
        return Some(IntakeEvent::Cancelled(identity));
    }
    let read = read_order(row);
    if read.is_none() {
        tracing::error!(key = row.key, "a row of the intake cannot be read");
    }
    read
}

fn read_order(row: &StoredRow) -> Option<IntakeEvent> {
    let identity = RowKeys::identity_of(&row.key)?;
    let order = RowCodec::decode(&row.value)?;
    Some(IntakeEvent::Ordered { identity, order })
}
