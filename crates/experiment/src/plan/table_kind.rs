//! Which policies a table compares.

/// Which policies a table compares with the chosen one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableKind {
    /// The baselines.
    Baselines,
    /// The chosen policy without each of its decisions.
    Without,
    /// Other choices of a runner.
    Routing,
}

impl TryFrom<&str> for TableKind {
    type Error = &'static str;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        match text {
            "baselines" => Ok(Self::Baselines),
            "without" => Ok(Self::Without),
            "routing" => Ok(Self::Routing),
            _ => Err("expected baselines, without or routing"),
        }
    }
}
