//! A gang as its workers see it.

use sapphirestile_jobs::EndKind;

/// Members of a gang that have the same run. They work only while all of them run. Times are in
/// milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum FakeGang {
    /// Some members wait for the others.
    Gathering { since: u64 },
    /// All members have been there, and end together.
    Working { end: u64, kind: EndKind },
}
