//! Sets of searches.

/// A set of searches, selected by `--bounds`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CaseSet {
    /// Searches without mutations at the bounds that every run of the tests covers.
    Small,
    /// Searches without mutations at larger bounds, which take longer.
    Large,
    /// One search for each mutation, at bounds where the mutation breaks a property.
    Mutations,
}

impl TryFrom<&str> for CaseSet {
    type Error = String;

    fn try_from(text: &str) -> Result<Self, String> {
        match text {
            "small" => Ok(Self::Small),
            "large" => Ok(Self::Large),
            "mutations" => Ok(Self::Mutations),
            _ => Err(format!(
                "unknown bounds {text:?}: expected small, large or mutations"
            )),
        }
    }
}
