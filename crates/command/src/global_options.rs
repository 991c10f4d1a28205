//! Options that apply to every command.

use std::net::SocketAddr;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use crate::ToolEnvironment;
use sapphirestile_wire::api::OperatorToken;

const TIMEOUT_DEFAULT_MS: u64 = 5_000;

/// The daemons to call, credentials, the timeout and the output format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GlobalOptions {
    /// Addresses of the operator ports of one or more daemons, in the order in which
    /// they are tried.
    pub daemons: Vec<SocketAddr>,
    /// The operator token, sent only with requests that change something. `None` when
    /// neither `--token` nor the environment variable is set.
    pub token: Option<OperatorToken>,
    /// The maximum time for a call to one daemon, in milliseconds; at least 1.
    pub timeout_ms: u64,
    /// True to write JSON, false to write tables.
    pub json: bool,
}

impl GlobalOptions {
    /// Sets the token from the environment unless `--token` was given.
    ///
    /// # Errors
    ///
    /// A description of valid tokens, when the token in the environment is not one.
    pub(crate) fn apply_environment(
        &mut self,
        environment: &ToolEnvironment,
    ) -> Result<(), &'static str> {
        if let (None, Some(text)) = (&self.token, &environment.token) {
            self.token = Some(OperatorToken::try_from(text.as_str())?);
        }
        Ok(())
    }

    pub(crate) fn parser() -> impl Parser<Self> {
        let daemons = long("daemon")
            .help("Operator port of a daemon; repeat to add daemons that are tried in order when one is unreachable")
            .argument::<SocketAddr>("IP:PORT")
            .some("give at least one --daemon IP:PORT");
        let token = long("token")
            .help("Operator token, required by commands that change something; prefer the environment variable SAPPHIRESTILE_TOKEN")
            .argument::<String>("TOKEN")
            .parse(|text| OperatorToken::try_from(text.as_str()))
            .optional();
        let timeout_ms = long("timeout-ms")
            .help("Maximum time for a call to one daemon, in milliseconds")
            .argument::<u64>("MS")
            .guard(|millis| *millis > 0, "the timeout must be at least 1 ms")
            .fallback(TIMEOUT_DEFAULT_MS)
            .display_fallback();
        let json = long("json").help("Write JSON instead of tables").switch();
        construct!(Self {
            daemons,
            token,
            timeout_ms,
            json
        })
    }
}
