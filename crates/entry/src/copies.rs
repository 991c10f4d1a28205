//! Copies of the operators' document.
//!
//! The operators' document is large, and a daemon that watches it reads each version whole.
//! Many daemons behind one link would fill that link. So only the owners of cells watch the
//! document itself. Each stores a compressed copy of a new version and reports it in its
//! ownership row, which every daemon reads. The other daemons read the copy.
//!
//! A [`ReadingPolicy`] decides from these reports whether a daemon may rely on the copies.
//! [`DocumentCopies`] holds what the threads of a daemon share. A [`DirectSource`] reads the
//! operators' rows, without the document while the copies are read by a [`CopySource`].

mod copy_publisher;
mod copy_source;
mod direct_source;
mod document_copies;
mod missed_reads;
mod own_progress;
mod reading_policy;
mod seen_revisions;

pub use copy_source::CopySource;
pub use direct_source::DirectSource;
pub use document_copies::DocumentCopies;
pub use reading_policy::ReadingPolicy;

pub(crate) use copy_publisher::CopyPublisher;
pub(crate) use reading_policy::PUBLISHERS_TO_BEGIN;
