//! Rules of the zone's protocol that may be left out.

/// A rule that is left out; the search has to find what breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneOutMutation {
    /// The commit does not compare the revision of the configuration.
    NoRevisionCheck,
    /// The start quotes the latest permit, also one given after the commit.
    PermitAfterCommit,
    /// The worker takes a permit of any age.
    NoAgeCheck,
}

impl ZoneOutMutation {
    /// Every mutation with its name on the command line.
    pub const ALL: [(&'static str, Self); 3] = [
        ("no-revision-check", Self::NoRevisionCheck),
        ("permit-after-commit", Self::PermitAfterCommit),
        ("no-age-check", Self::NoAgeCheck),
    ];
}
