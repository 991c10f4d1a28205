//! Whether a number of cells may come into force.

use crate::document::InForceDocument;
use crate::vms::VmTable;
use sapphirestile_cells::CellMap;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DocumentError;
use sapphirestile_core::IniFault;
use sapphirestile_core::OperatorDocument;

/// Checks the number of cells of a document against the one in force and against
/// the workers that are listed.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::OperatorDocument;
/// use sapphirestile_daemon::document::CellsCheck;
/// use sapphirestile_daemon::document::InForceDocument;
/// use sapphirestile_daemon::vms::VmTable;
///
/// let (current, vms) = (InForceDocument::default(), VmTable::default());
/// let next = OperatorDocument::default();
/// assert_eq!(CellsCheck::new(&current, &vms).check(&next), Ok(()));
/// ```
pub struct CellsCheck<'c> {
    current: &'c InForceDocument,
    vms: &'c VmTable,
}

impl<'c> CellsCheck<'c> {
    /// A check against the document in force and the list of VMs.
    #[must_use]
    pub const fn new(current: &'c InForceDocument, vms: &'c VmTable) -> Self {
        Self { current, vms }
    }

    /// Checks the next document.
    ///
    /// # Errors
    ///
    /// The reason when its number of cells may not come into force.
    pub fn check(&self, next: &OperatorDocument) -> Result<(), DocumentError> {
        if self.current.stored().is_some() {
            self.check_unchanged(next)
        } else {
            self.check_workers(next)
        }
    }

    /// Workers and jobs are spread over the cells by a hash, so that another
    /// number of cells would put them elsewhere while they run.
    fn check_unchanged(&self, next: &OperatorDocument) -> Result<(), DocumentError> {
        let known = self.current.document().cells.count;
        if known == next.cells.count {
            return Ok(());
        }
        Err(fault(next, format!("{known}, as in force")))
    }

    /// The first document settles the number for good. A cell without a worker
    /// would never start its jobs.
    fn check_workers(&self, next: &OperatorDocument) -> Result<(), DocumentError> {
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
