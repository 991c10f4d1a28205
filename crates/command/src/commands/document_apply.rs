//! Puts a file in the place of the document in force.

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::arguments::author_option;
use crate::commands::document_file::DocumentFile;
use crate::operations::change_document;
use crate::output::CommandOutput;
use sapphirestile_core::ConfigRevision;
use sapphirestile_wire::api::AuthorName;
use sapphirestile_wire::api::DocumentChange;

const NO_REVISION: &str = "say which revision the file is based on: --based-on N, or keep the first line of `document show`";
const FOOTER: &str = "\
The change is written only when the revision that the file is based on is still in force.

Example: sapphirestile --daemon 10.0.1.4:7070 document apply coast.ini --author maija --dry-run";

/// Puts a file in the place of the document in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentApply {
    /// The file.
    pub file: String,
    /// The revision that the file is based on, unless its first line says so.
    pub based_on: Option<ConfigRevision>,
    /// Who asks for the change.
    pub author: AuthorName,
    /// Whether to check only.
    pub dry_run: bool,
}

impl DocumentApply {
    pub(crate) fn parser() -> impl Parser<Self> {
        let based_on = long("based-on")
            .help("Revision that the file is based on, unless its first line says so")
            .argument::<u64>("REVISION")
            .map(ConfigRevision::new)
            .optional();
        let author = author_option();
        let dry_run = long("dry-run").help("Check only, write nothing").switch();
        let file = positional::<String>("FILE").help("File with the whole document");
        construct!(Self {
            based_on,
            author,
            dry_run,
            file
        })
        .to_options()
        .descr("Puts a file in the place of the document in force, as a whole or not at all")
        .footer(FOOTER)
        .command("apply")
    }

    pub(crate) fn run(
        &self,
        client: &OperatorClient<'_>,
        output: &mut CommandOutput<'_>,
    ) -> ExitKind {
        let file = match DocumentFile::read(&self.file) {
            Ok(file) => file,
            Err(message) => return output.bad_usage(&message),
        };
        let Some(based_on) = self.based_on.or(file.based_on) else {
            return output.bad_usage(NO_REVISION);
        };
        let change = DocumentChange {
            based_on,
            text: file.text,
            author: self.author.clone(),
            dry_run: self.dry_run,
        };
        let outcome = change_document(client, &change);
        output.finish(outcome, |accepted| {
            let revision = accepted.revision;
            if self.dry_run {
                format!("valid; nothing was written, revision {revision} is in force\n")
            } else {
                format!("in force from revision {revision} on\n")
            }
        })
    }
}
