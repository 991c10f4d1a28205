//! Compares a file with the document in force.

use bpaf::Parser;
use bpaf::construct;
use bpaf::positional;
use error_stack::Report;

use crate::ExitKind;
use crate::client::OperatorClient;
use crate::commands::document_file::DocumentFile;
use crate::operations::OperationFault;
use crate::operations::read_view;
use crate::output::CommandOutput;
use sapphirestile_core::DocumentDifference;
use sapphirestile_core::OperatorDocument;
use sapphirestile_wire::api::DocumentRefused;
use sapphirestile_wire::api::DocumentView;

/// Compares a file with the document in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentDiff {
    /// The file.
    pub file: String,
}

impl DocumentDiff {
    pub(crate) fn parser() -> impl Parser<Self> {
        let file = positional::<String>("FILE").help("File with a document");
        construct!(Self { file })
            .to_options()
            .descr("Shows what a file would change in the document in force, key by key")
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
            Err(message) => return output.bad_usage(&message),
        };
        if let Err(fault) = OperatorDocument::try_from(file.text.as_str()) {
            let faults = DocumentRefused::from(&fault).faults;
            return output.failed(&Report::new(OperationFault::Faults { faults }));
        }
        match read_view::<DocumentView>(client, "/v1/document") {
            Ok(view) => {
                let lines = DocumentDifference::between(&view.text, &file.text).lines();
                let text = difference_text(&view, &lines);
                output.done(&lines, &text)
            }
            Err(report) => output.failed(&report),
        }
    }
}

fn difference_text(view: &DocumentView, lines: &[String]) -> String {
    if lines.is_empty() {
        return format!("no difference from revision {}\n", view.revision);
    }
    let mut text = format!("from revision {}:\n", view.revision);
    for line in lines {
        text.push_str("  ");
        text.push_str(line);
        text.push('\n');
    }
    text
}
