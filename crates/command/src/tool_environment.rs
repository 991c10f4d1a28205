//! The environment variables of the tool.

/// The environment variable that holds the operator token.
pub(crate) const TOKEN_VARIABLE: &str = "SAPPHIRESTILE_TOKEN";

/// Values of environment variables. The binary reads them and passes them to
/// [`run_tool`](crate::run_tool()), so that tests can set them.
///
/// The variable for the author of a change is not among them: the argument parser
/// reads it.
#[derive(Clone, PartialEq, Eq)]
pub struct ToolEnvironment {
    /// The value of `SAPPHIRESTILE_TOKEN`, not yet validated; used when `--token` is not
    /// given. `None` when the variable is unset or is not valid Unicode.
    pub token: Option<String>,
}

impl ToolEnvironment {
    /// Reads the environment of the current process.
    #[must_use]
    pub fn from_process() -> Self {
        Self {
            token: std::env::var(TOKEN_VARIABLE).ok(),
        }
    }
}
