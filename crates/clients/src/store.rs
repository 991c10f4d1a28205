//! Clients of the platform's key-value store.
//!
//! A [`StoreClient`] reads rows, commits a [`StoreCommit`] of guards and writes
//! atomically, manages leases and waits on a [`StoreWatch`]. A failed call is a
//! [`StoreError`], which states whether the call may have taken effect.
//! [`EtcdClient`] implements it over the JSON gateway of the etcd v3 API.

mod commit_answer;
mod etcd_client;
mod etcd_failure;
mod etcd_requests;
mod key_range;
mod store_client;
mod store_commit;
mod store_error;
mod store_guard;
mod store_watch;
mod store_write;
mod stored_range;
mod stored_row;

pub use commit_answer::CommitAnswer;
pub use etcd_client::EtcdClient;
pub use key_range::KeyRange;
pub use store_client::StoreClient;
pub use store_commit::StoreCommit;
pub use store_error::StoreError;
pub use store_guard::StoreGuard;
pub use store_watch::StoreWatch;
pub use store_write::StoreWrite;
pub use stored_range::StoredRange;
pub use stored_row::StoredRow;
