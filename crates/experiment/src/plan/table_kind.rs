//! The group of policies that a table compares.

/// The group of policies that a table compares with the production policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableKind {
    /// Simple algorithms, no colocation, and sizes taken as declared.
    Baselines,
    /// The production policy with one feature disabled per row; `without` on the
    /// command line.
    Ablations,
    /// The production policy with other algorithms that choose a runner.
    Routing,
}

impl TryFrom<&str> for TableKind {
    type Error = &'static str;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        match text {
            "baselines" => Ok(Self::Baselines),
            "without" => Ok(Self::Ablations),
            "routing" => Ok(Self::Routing),
            _ => Err("expected baselines, without or routing"),
        }
    }
}
