//! Rules of the zone's protocol that the model can leave out.

/// A rule to leave out. The search has to find a trace that breaks a property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneOutMutation {
    /// The store accepts a commit that was based on an older revision of the
    /// configuration.
    NoRevisionCheck,
    /// The start request carries the latest permit, even one granted after the commit.
    PermitAfterCommit,
    /// The worker accepts a permit of any age.
    NoAgeCheck,
}

impl ZoneOutMutation {
    /// All mutations with their names on the command line.
    pub const ALL: [(&'static str, Self); 3] = [
        ("no-revision-check", Self::NoRevisionCheck),
        ("permit-after-commit", Self::PermitAfterCommit),
        ("no-age-check", Self::NoAgeCheck),
    ];
}
