//! The stand-in of the platform's list of VMs.
//!
//! `GET /v1/vms` answers the list as it stood a lag ago, `PUT /v1/vms` replaces
//! it, `POST /faults` sets [`VmFaults`] and `GET /counts` answers how often the
//! list was read. A reader that names the `etag` of the list is answered with
//! 304, one that takes gzip with a compressed list, unless the faults say
//! otherwise. [`VmState`] decides and keeps each [`VmVersion`] of the list,
//! [`VmStandin`] serves.

mod served_list;
mod vm_counts;
mod vm_faults;
mod vm_service;
mod vm_standin;
mod vm_state;
mod vm_version;

pub use vm_counts::VmCounts;
pub use vm_faults::VmFaults;
pub use vm_service::VmService;
pub use vm_standin::VmStandin;
pub use vm_state::VmState;
pub use vm_version::VmVersion;
