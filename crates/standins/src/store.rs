//! The stand-in of the platform's store.
//!
//! It answers the part of the JSON gateway of the published etcd v3 API that
//! [`sapphirestile_wire::store`] describes, and besides `POST /faults` with
//! [`StoreFaults`] and `GET /counts` with [`StoreCounts`]. [`StoreState`]
//! decides; its leases are [`LeaseCycle`]s. [`StoreService`] answers calls and
//! lets watches wait, and [`StoreStandin`] serves.

mod change_entry;
mod key_span;
mod lease_cycle;
mod served_store;
mod store_counts;
mod store_faults;
mod store_replies;
mod store_service;
mod store_standin;
mod store_state;
mod stored_entry;
mod txn_fault;
mod watch_outcome;

pub use change_entry::ChangeEntry;
pub use key_span::KeySpan;
pub use lease_cycle::LapsedPhase;
pub use lease_cycle::LeaseCycle;
pub use lease_cycle::LeaseState;
pub use lease_cycle::LivePhase;
pub use store_counts::StoreCounts;
pub use store_faults::StoreFaults;
pub use store_service::StoreService;
pub use store_standin::StoreStandin;
pub use store_state::StoreState;
pub use stored_entry::StoredEntry;
pub use txn_fault::TxnFault;
pub use watch_outcome::WatchOutcome;
