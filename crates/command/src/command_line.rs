//! The command line of the tool.

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;

use crate::GlobalOptions;
use crate::ToolCommand;

const DESCRIPTION: &str = "Operates sapphirestile: jobs, zones and the configuration document";
const FOOTER: &str = "\
Exit codes:
 0  done
 1  refused because of what was requested; nothing was done (watch: the job failed or was cancelled)
 2  invalid arguments or unreadable file; nothing was sent
 3  not run for a temporary reason; nothing was done, try again later
 4  unknown outcome: it may or may not have been done
 5  no daemon gave a valid response; nothing was changed

Examples:
 sapphirestile --daemon 10.0.1.4:7070 status
 sapphirestile --daemon 10.0.1.4:7070 --daemon 10.0.2.4:7070 zone out rannikko-hki --author maija
 sapphirestile --daemon 10.0.1.4:7070 --json list

Shell completion: sapphirestile --bpaf-complete-style-bash (or zsh, fish, elvish)";

/// The parsed command line: global options and one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandLine {
    /// Options that apply to every command.
    pub options: GlobalOptions,
    /// The command to run.
    pub command: ToolCommand,
}

impl CommandLine {
    /// Returns the parser of the whole command line, with help and version.
    #[must_use]
    pub fn parser() -> OptionParser<Self> {
        let options = GlobalOptions::parser();
        let command = ToolCommand::parser();
        construct!(Self { options, command })
            .to_options()
            .descr(DESCRIPTION)
            .footer(FOOTER)
            .version(env!("CARGO_PKG_VERSION"))
    }
}
