//! What the tool takes from its environment.

/// The variable that holds the operators' token.
pub(crate) const TOKEN_VARIABLE: &str = "SAPPHIRESTILE_TOKEN";

/// Variables that the tool reads, passed in by its binary.
#[derive(Clone, PartialEq, Eq)]
pub struct ToolEnvironment {
    /// The operators' token, where `--token` is not given.
    pub token: Option<String>,
}

impl ToolEnvironment {
    /// The environment of this process.
    #[must_use]
    pub fn of_process() -> Self {
        Self {
            token: std::env::var(TOKEN_VARIABLE).ok(),
        }
    }
}
