//! Writes the ledger.

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

/// Replaces the ledger by compare-and-swap.
///
/// The outcome need not be settled: the shared watch brings whatever ledger the
/// store holds, and only from there does it come into use.
pub struct LedgerWriter<'c> {
    context: &'c DaemonContext,
}

impl<'c> LedgerWriter<'c> {
    /// A writer for one daemon.
    #[must_use]
    pub const fn new(context: &'c DaemonContext) -> Self {
        Self { context }
    }

    /// Writes `next` in place of `row`.
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
            Ok(CommitAnswer::Done(revision)) => self.take(next, revision),
            Ok(CommitAnswer::Beaten) => {
                info!(
                    step = "write ledger",
                    peer = "store",
                    "another daemon was first"
                );
            }
            Err(error) => warn!(
                step = "write ledger",
                peer = "store",
                ?error,
                "outcome open"
            ),
        }
    }

    fn take(&self, ledger: &TokenLedger, revision: u64) {
        info!(
            step = "write ledger",
            peer = "store",
            generation = ledger.generation.get(),
            "written"
        );
        let known = self.context.ledger.load();
        let stays = |member: &&DaemonIdentity| ledger.has_member(member);
        let gone = known.gone.iter().filter(stays).cloned().collect();
        let ledger = ledger.clone();
        take_ledger(
            self.context,
            LedgerRow {
                ledger,
                revision,
                gone,
            },
        );
    }
}

/// Takes a ledger that the store holds, unless a later one is known.
pub(crate) fn take_ledger(context: &DaemonContext, row: LedgerRow) {
    context.ledger.update(|known| {
        if row.revision >= known.revision {
            row
        } else {
            known.clone()
        }
    });
}
