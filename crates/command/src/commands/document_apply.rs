//! The command `document apply`.

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

const MISSING_REVISION: &str = "the file does not name the revision that it is based on: give --based-on REVISION, or keep the first line that `document show` writes";
const FOOTER: &str = "\
The change is written only if the revision that the file is based on is still active.

Example: sapphirestile --daemon 10.0.1.4:7070 document apply coast.ini --author maija --dry-run";

/// Replaces the operators' document with the text of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentApply {
    /// The path of the file with the complete document.
    pub file: String,
    /// The revision that the file is based on. When it is `None`, the first line of the
    /// file must name the revision.
    pub based_on: Option<ConfigRevision>,
    /// The operator who makes the change.
    pub author: AuthorName,
    /// True to validate the document without writing it.
    pub dry_run: bool,
}

impl DocumentApply {
    pub(crate) fn parser() -> impl Parser<Self> {
        let based_on = long("based-on")
            .help("Revision that the file is based on; default: the revision in the first line of the file")
            .argument::<u64>("REVISION")
            .map(ConfigRevision::new)
            .optional();
        let author = author_option();
        let dry_run = long("dry-run")
            .help("Validate only, write nothing")
            .switch();
        let file = positional::<String>("FILE").help("File with the complete document");
        construct!(Self {
            based_on,
            author,
            dry_run,
            file
        })
        .to_options()
        .descr("Replaces the active document with a file, as a whole or not at all")
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
            Err(message) => return output.write_usage_error(&message),
        };
        let Some(based_on) = self.based_on.or(file.based_on) else {
            return output.write_usage_error(MISSING_REVISION);
        };
        let change = DocumentChange {
            based_on,
            text: file.text,
            author: self.author.clone(),
            dry_run: self.dry_run,
        };
        let outcome = change_document(client, &change);
        output.write_outcome(outcome, |accepted| {
            let revision = accepted.revision;
            if self.dry_run {
                format!("valid; nothing was written, revision {revision} is still active\n")
            } else {
                format!("applied; active as of revision {revision}\n")
            }
        })
    }
}
