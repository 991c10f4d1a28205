//! The platform's list of VMs.
//!
//! A [`VmClient`] reads the list into a [`VmListing`]; asked with the [`ListTag`] of
//! the list before, a platform need not send the same list again. A failed read is a
//! [`VmError`].

mod body_coding;
mod list_tag;
mod vm_client;
mod vm_error;
mod vm_listing;

pub use list_tag::ListTag;
pub use vm_client::VM_LIST_MAX_BYTES;
pub use vm_client::VmClient;
pub use vm_error::VmError;
pub use vm_listing::VmListing;
