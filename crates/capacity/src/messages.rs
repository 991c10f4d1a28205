//! Sizes of encoded messages, journal entries and snapshots; the same on every machine.

mod cell_sizes;
mod document_sizes;
mod peer_sizes;
mod share_sizes;

use crate::ResultTable;
use crate::SizeSelection;

/// Encodes each kind of message for several sizes of an installation, and returns a table
/// of byte counts for each.
///
/// # Examples
///
/// ```
/// use sapphirestile_capacity::SizeSelection;
/// use sapphirestile_capacity::message_sizes;
///
/// assert_eq!(message_sizes(SizeSelection::Smallest).len(), 11);
/// ```
#[must_use]
pub fn message_sizes(selection: SizeSelection) -> Vec<ResultTable> {
    vec![
        peer_sizes::heartbeats(selection),
        peer_sizes::token_reports(selection),
        peer_sizes::slowdown_reports(selection),
        peer_sizes::token_ledgers(selection),
        cell_sizes::entries(selection),
        cell_sizes::snapshots(selection),
        share_sizes::snapshots(selection),
        share_sizes::messages(selection),
        document_sizes::documents(selection),
        document_sizes::vm_lists(selection),
        document_sizes::session_bodies(selection),
    ]
}
