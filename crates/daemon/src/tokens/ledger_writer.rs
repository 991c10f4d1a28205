//! Writes the token ledger.

use tracing::info;
use tracing::warn;

use crate::context::DaemonContext;
use crate::context::StoreKeys;
use crate::tokens::LedgerRow;
use sapphirestile_clients::store::CommitAnswer;
use sapphirestile_clients::store::StoreCommit;
use sapphirestile_clients::store::StoreGuard;
use sapphirestile_clients::store::StoreWrite;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_slots::TokenLedger;

/// Replaces the token ledger by compare-and-swap.
///
/// An unknown outcome needs no retry: the shared watch reads the ledger that the store
/// holds, whichever it is, and the daemon follows that.
pub struct LedgerWriter<'c> {
    context: &'c DaemonContext,
}

impl<'c> LedgerWriter<'c> {
    /// Creates a writer to the store of `context`.
    #[must_use]
    pub const fn new(context: &'c DaemonContext) -> Self {
        Self { context }
    }

    /// Replaces the ledger `row` by `next`. If the row has another revision by now, nothing
    /// is written. On success, `next` takes effect in this daemon at once.
    ///
    /// # Panics
    ///
    /// Never: a ledger is always encodable.
    pub fn write(&self, row: &LedgerRow, next: &TokenLedger) {
        let value = postcard::to_stdvec(next).expect("a ledger is always encodable");
        let guards = [StoreGuard {
            key: StoreKeys::LEDGER,
            revision: row.revision,
        }];
        let writes = [StoreWrite::Put {
            key: StoreKeys::LEDGER,
            value: &value,
            lease: None,
        }];
        let commit = StoreCommit {
            guards: &guards,
            writes: &writes,
        };
        match self.context.store.commit(&commit) {
            Ok(CommitAnswer::Done(revision)) => self.publish(next, revision),
            Ok(CommitAnswer::Beaten) => {
                info!(
                    step = "write ledger",
                    peer = "store",
                    "another daemon changed the ledger first"
                );
            }
            Err(error) => warn!(
                step = "write ledger",
                peer = "store",
                ?error,
                "outcome unknown"
            ),
        }
    }

    fn publish(&self, ledger: &TokenLedger, revision: u64) {
        info!(
            step = "write ledger",
            peer = "store",
            generation = ledger.generation.get(),
            "written"
        );
        let known = self.context.ledger.load();
        let is_member = |member: &&DaemonIdentity| ledger.has_member(member);
        let unregistered = known
            .unregistered
            .iter()
            .filter(is_member)
            .cloned()
            .collect();
        let ledger = ledger.clone();
        publish_ledger(
            self.context,
            LedgerRow {
                ledger,
                revision,
                unregistered,
            },
        );
    }
}

/// Sets the ledger of a daemon to one that the store holds, unless a later revision is
/// known.
pub(crate) fn publish_ledger(context: &DaemonContext, row: LedgerRow) {
    context.ledger.update(|known| {
        if row.revision >= known.revision {
            row
        } else {
            known.clone()
        }
    });
}
