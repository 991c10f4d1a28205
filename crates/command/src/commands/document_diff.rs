//! The command `document diff`.

use bpaf::Parser;
use bpaf::construct;
use bpaf::positional;
use error_stack::Report;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::document_file::DocumentFile;
use crate::operations::OperationError;
use crate::operations::read_view;
use crate::output::CommandOutput;
use sapphirestile_core::DocumentDifference;
use sapphirestile_core::OperatorDocument;
use sapphirestile_wire::api::DocumentRefused;
use sapphirestile_wire::api::DocumentView;

/// Shows which values a file would change in the active document.
///
/// An invalid file is reported without a request to a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentDiff {
    /// The path of the file with the complete document.
    pub file: String,
}

impl DocumentDiff {
    pub(crate) fn parser() -> impl Parser<Self> {
        let file = positional::<String>("FILE").help("File with the complete document");
        construct!(Self { file })
            .to_options()
            .descr("Shows what a file would change in the active document, key by key")
            .footer("Example: sapphirestile --daemon 10.0.1.4:7070 document diff coast.ini")
            .command("diff")
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
        if let Err(error) = OperatorDocument::try_from(file.text.as_str()) {
            let faults = DocumentRefused::from(&error).faults;
            return output.write_error(&Report::new(OperationError::Faults { faults }));
        }
        match read_view::<DocumentView>(client, "/v1/document") {
            Ok(view) => {
                let lines = DocumentDifference::between(&view.text, &file.text).lines();
                let text = difference_text(&view, &lines);
                output.write_result(&lines, &text)
            }
            Err(report) => output.write_error(&report),
        }
    }
}

fn difference_text(view: &DocumentView, lines: &[String]) -> String {
    if lines.is_empty() {
        return format!("no changes from revision {}\n", view.revision);
    }
    let mut text = format!("changes from revision {}:\n", view.revision);
    for line in lines {
        text.push_str("  ");
        text.push_str(line);
        text.push('\n');
    }
    text
}
