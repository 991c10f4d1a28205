//! What every command shares.

use std::net::SocketAddr;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use crate::ToolEnvironment;
use sapphirestile_wire::api::OperatorToken;

const TIMEOUT_DEFAULT_MS: u64 = 5_000;

/// Which daemons are called, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// The operator ports of daemons, in the order in which they are tried.
    pub daemons: Vec<SocketAddr>,
    /// The operators' token, for commands that change something.
    pub token: Option<OperatorToken>,
    /// How long a daemon may take to answer, in milliseconds.
    pub timeout_ms: u64,
    /// Whether to write JSON.
    pub json: bool,
}

impl CallOptions {
    /// Takes what was not given from the environment.
    pub(crate) fn complete(&mut self, environment: &ToolEnvironment) -> Result<(), &'static str> {
        if let (None, Some(text)) = (&self.token, &environment.token) {
            self.token = Some(OperatorToken::try_from(text.as_str())?);
        }
        Ok(())
    }

    pub(crate) fn parser() -> impl Parser<Self> {
        let daemons = long("daemon")
            .help("Operator port of a daemon; give more to have the next tried when one is unreachable")
            .argument::<SocketAddr>("IP:PORT")
            .some("give at least one --daemon IP:PORT");
        let token = long("token")
            .help("The operators' token, needed by what changes something; better kept in the variable SAPPHIRESTILE_TOKEN")
            .argument::<String>("TOKEN")
            .parse(|text| OperatorToken::try_from(text.as_str()))
            .optional();
        let timeout_ms = long("timeout-ms")
            .help("How long a daemon may take to answer, in milliseconds")
            .argument::<u64>("MS")
            .guard(|millis| *millis > 0, "a time-out is at least a millisecond")
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
