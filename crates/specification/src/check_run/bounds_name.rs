//! Which searches to run.

/// A set of searches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoundsName {
    /// Those of every run of the tests.
    Small,
    /// Deeper ones.
    Large,
    /// One for each mutation.
    Mutations,
}

impl TryFrom<&str> for BoundsName {
    type Error = String;

    fn try_from(text: &str) -> Result<Self, String> {
        match text {
            "small" => Ok(Self::Small),
            "large" => Ok(Self::Large),
            "mutations" => Ok(Self::Mutations),
            _ => Err(format!("{text:?} is not small, large or mutations")),
        }
    }
}
