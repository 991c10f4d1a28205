//! One run of the tool.

use std::net::SocketAddr;

use sapphirestile_command::ExitKind;
use sapphirestile_command::ToolEnvironment;
use sapphirestile_command::run_tool;

/// The token that the scenes use.
pub const TOKEN: &str = "0123456789abcdef";

/// What a run of the tool wrote, and how it ended.
#[derive(Debug, PartialEq, Eq)]
pub struct ToolRun {
    pub exit: ExitKind,
    pub out: String,
    pub err: String,
}

/// Runs the tool against these daemons.
pub fn run_against(daemons: &[SocketAddr], arguments: &[&str]) -> ToolRun {
    let mut line = Vec::new();
    for daemon in daemons {
        line.push("--daemon".to_owned());
        line.push(daemon.to_string());
    }
    line.extend(arguments.iter().map(|argument| (*argument).to_owned()));
    let environment = ToolEnvironment {
        token: Some(TOKEN.to_owned()),
    };
    let mut out = Vec::new();
    let mut err = Vec::new();
    let exit = run_tool(line.as_slice(), &environment, &mut out, &mut err);
    ToolRun {
        exit,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}
