//! A check of the number of cells.

use crate::document::ActiveDocument;
use crate::vms::VmTable;
use sapphirestile_cells::CellMap;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DocumentError;
use sapphirestile_core::IniFault;
use sapphirestile_core::OperatorDocument;

/// Checks the number of cells of a new document against the document in force or, if
/// there is none, against the listed workers.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::OperatorDocument;
/// use sapphirestile_daemon::document::ActiveDocument;
/// use sapphirestile_daemon::document::CellCountCheck;
/// use sapphirestile_daemon::vms::VmTable;
///
/// let (current, vms) = (ActiveDocument::default(), VmTable::default());
/// let next = OperatorDocument::default();
/// assert_eq!(CellCountCheck::new(&current, &vms).check(&next), Ok(()));
/// ```
pub struct CellCountCheck<'c> {
    current: &'c ActiveDocument,
    vms: &'c VmTable,
}

impl<'c> CellCountCheck<'c> {
    /// A check against the document `current` and the workers in `vms`.
    #[must_use]
    pub const fn new(current: &'c ActiveDocument, vms: &'c VmTable) -> Self {
        Self { current, vms }
    }

    /// Checks the document that is to replace the current one.
    ///
    /// # Errors
    ///
    /// A fault of the key `count` if its number of cells is not allowed.
    pub fn check(&self, next: &OperatorDocument) -> Result<(), DocumentError> {
        if self.current.stored().is_some() {
            self.check_unchanged(next)
        } else {
            self.check_first(next)
        }
    }

    /// Workers and jobs are assigned to cells by a hash, so another number of cells would
    /// move them to other cells while they run.
    fn check_unchanged(&self, next: &OperatorDocument) -> Result<(), DocumentError> {
        let known = self.current.document().cells.count;
        if known == next.cells.count {
            return Ok(());
        }
        Err(fault(next, format!("{known}, as in force")))
    }

    /// The number of cells in the first document cannot be changed later. A cell without a
    /// worker would never start its jobs. Without any listed worker, every number passes.
    fn check_first(&self, next: &OperatorDocument) -> Result<(), DocumentError> {
        let workers = self.vms.worker_names().count();
        let empty = CellMap::new(next.cells.count).empty_cells(self.vms.worker_names());
        if workers == 0 || empty.is_empty() {
            return Ok(());
        }
        let shown = empty.iter().map(CellNumber::to_string).collect::<Vec<_>>();
        let shown = shown.join(", ");
        let expected = format!(
            "fewer cells: of the {workers} workers listed, none belongs to {shown}, where no job would start"
        );
        Err(fault(next, expected))
    }
}

fn fault(next: &OperatorDocument, expected: String) -> DocumentError {
    let fault = IniFault {
        section: "cells".to_owned(),
        key: "count".to_owned(),
        value: next.cells.count.to_string(),
        expected,
    };
    DocumentError {
        faults: vec![fault],
    }
}
