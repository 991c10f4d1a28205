//! A test double of the platform's store.
//!
//! It implements the part of the JSON gateway of the published etcd v3 API that
//! [`sapphirestile_wire::store`] describes. `POST /faults` sets [`StoreFaults`], and
//! `GET /counts` returns [`StoreCounts`]. [`StoreState`] implements transactions, revisions
//! and leases, each a [`LeaseCycle`]. [`StoreService`] handles the requests and blocks those
//! of watches, and [`StoreStandin`] serves it on an address.

mod key_change;
mod key_range;
mod lease_cycle;
mod store_counts;
mod store_faults;
mod store_inner;
mod store_responses;
mod store_service;
mod store_standin;
mod store_state;
mod stored_row;
mod txn_error;
mod watch_outcome;

pub use key_change::KeyChange;
pub use key_range::KeyRange;
pub use lease_cycle::ExpiredPhase;
pub use lease_cycle::LeaseCycle;
pub use lease_cycle::LeaseState;
pub use lease_cycle::LivePhase;
pub use store_counts::StoreCounts;
pub use store_faults::StoreFaults;
pub use store_service::StoreService;
pub use store_standin::StoreStandin;
pub use store_state::StoreState;
pub use stored_row::StoredRow;
pub use txn_error::TxnError;
pub use watch_outcome::WatchOutcome;
