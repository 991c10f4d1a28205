//! Reads what the owners of other cells have learnt.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Sender;
use sapphirestile_core::CellNumber;
use sapphirestile_jobs::LearntTables;

use crate::context::EntryContext;
use crate::owner::OwnerEvent;
use crate::ports::ListTimeouts;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// The interval between two reads. Owners store their estimates as often.
const READ_INTERVAL: Duration = Duration::from_secs(3);

/// The upper bound of each wait for the next bytes of the answer.
const PAUSE_MAX: Duration = Duration::from_millis(1_500);

/// Reads what the owners of other cells have learnt, on a thread of its own: every image may
/// run in every cell.
#[derive(Clone, Copy, Debug)]
pub struct LearntReader;

impl LearntReader {
    /// Starts a thread that sends the estimates of all cells but `own` as events, and ends
    /// with the term of ownership.
    pub fn spawn(context: Arc<EntryContext>, own: CellNumber, events: Sender<OwnerEvent>) {
        let spawned = thread::Builder::new()
            .name("read learnt estimates".to_owned())
            .spawn(move || {
                loop {
                    thread::sleep(READ_INTERVAL);
                    let learnt = read_others(&context, own);
                    // Sending fails once the term of ownership is over.
                    if events.send(OwnerEvent::Learnt(learnt)).is_err() {
                        return;
                    }
                }
            });
        if let Err(error) = spawned {
            tracing::error!(
                cell = %own,
                %error,
                "failed to spawn the thread that reads learnt estimates"
            );
        }
    }
}

fn read_others(context: &EntryContext, own: CellNumber) -> Vec<LearntTables> {
    if context.cells.load().layout.cells() <= 1 {
        return Vec::new();
    }
    let listing = match context.list_rows(
        RowKeys::learnt_prefix(),
        ListTimeouts::each_pause(PAUSE_MAX),
    ) {
        Ok(listing) => listing,
        Err(fault) => {
            tracing::warn!(cell = %own, %fault, "cannot read the learnt estimates of other cells");
            return Vec::new();
        }
    };
    let own_key = RowKeys::learnt(own);
    let others = listing.rows.iter().filter(|row| row.key != own_key);
    others
        .filter_map(|row| RowCodec::decode(&row.value))
        .collect()
}
