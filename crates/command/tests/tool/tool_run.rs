//! A run of the tool inside the test process.

use std::net::SocketAddr;

use sapphirestile_command::ExitKind;
use sapphirestile_command::ToolEnvironment;
use sapphirestile_command::run_tool;

/// The operator token in the environment of every run.
pub const TOKEN: &str = "0123456789abcdef";

/// The exit code and the output of a run.
#[derive(Debug, PartialEq, Eq)]
pub struct ToolRun {
    pub exit: ExitKind,
    pub out: String,
    pub err: String,
}

/// Runs the tool with a `--daemon` option for each address, before `arguments`.
pub fn run_with_daemons(daemons: &[SocketAddr], arguments: &[&str]) -> ToolRun {
    let mut all_arguments = Vec::new();
    for daemon in daemons {
        all_arguments.push("--daemon".to_owned());
        all_arguments.push(daemon.to_string());
    }
    all_arguments.extend(arguments.iter().map(|argument| (*argument).to_owned()));
    let environment = ToolEnvironment {
        token: Some(TOKEN.to_owned()),
    };
    let mut out = Vec::new();
    let mut err = Vec::new();
    let exit = run_tool(all_arguments.as_slice(), &environment, &mut out, &mut err);
    ToolRun {
        exit,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}
