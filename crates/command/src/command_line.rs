//! The arguments of the tool.

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;

use crate::CallOptions;
use crate::ToolCommand;

const DESCRIPTION: &str = "Operates sapphirestile: jobs, zones and the configuration";
const FOOTER: &str = "\
Exit codes:
 0  done
 1  refused for what was asked; nothing was done
 2  wrong arguments; nothing was sent
 3  not run for a reason that may pass; nothing was done
 4  unknown outcome: it may or may not have been done
 5  no daemon answered; nothing was changed

Examples:
 sapphirestile --daemon 10.0.1.4:7070 status
 sapphirestile --daemon 10.0.1.4:7070 --daemon 10.0.2.4:7070 zone out rannikko-hki --author maija
 sapphirestile --daemon 10.0.1.4:7070 --json list

Completion: sapphirestile --bpaf-complete-style-bash (or zsh, fish, elvish)";

/// The options and the command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandLine {
    /// Which daemons are called, and how.
    pub options: CallOptions,
    /// What is asked.
    pub command: ToolCommand,
}

impl CommandLine {
    /// The parser of the tool's arguments.
    #[must_use]
    pub fn parser() -> OptionParser<Self> {
        let options = CallOptions::parser();
        let command = ToolCommand::parser();
        construct!(Self { options, command })
            .to_options()
            .descr(DESCRIPTION)
            .footer(FOOTER)
            .version(env!("CARGO_PKG_VERSION"))
    }
}
