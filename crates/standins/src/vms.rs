//! A test double of the platform's list of VMs.
//!
//! `GET /v1/vms` returns the list as it was before a configurable lag, and `PUT /v1/vms`
//! replaces it. `POST /faults` sets [`VmListFaults`], and `GET /counts` returns
//! [`VmListCounts`]. A request whose `if-none-match` is the current `etag` gets status 304,
//! and one that accepts gzip gets a compressed list, unless the faults disable both.
//! [`VmListState`] keeps the [`VmListVersion`]s of the list, [`VmListService`] handles the
//! requests, and [`VmListStandin`] serves it on an address.

mod vm_list_counts;
mod vm_list_faults;
mod vm_list_inner;
mod vm_list_service;
mod vm_list_standin;
mod vm_list_state;
mod vm_list_version;

pub use vm_list_counts::VmListCounts;
pub use vm_list_faults::VmListFaults;
pub use vm_list_service::VmListService;
pub use vm_list_standin::VmListStandin;
pub use vm_list_state::VmListState;
pub use vm_list_version::VmListVersion;
