//! A table of results that prints as Markdown.

use std::fmt::Display;
use std::fmt::Formatter;

/// A table of results. [`Display`] writes its title and a Markdown table.
///
/// # Examples
///
/// ```
/// use sapphirestile_capacity::ResultTable;
///
/// let mut table = ResultTable::new("Sizes", &["tasks", "bytes"]);
/// table.add(&[&3, &120]);
/// assert_eq!(table.to_string(), "Sizes\n\n| tasks | bytes |\n| --- | --- |\n| 3 | 120 |\n");
/// ```
#[derive(Clone, Debug)]
pub struct ResultTable {
    title: &'static str,
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl ResultTable {
    /// Creates a table without rows; `header` names its columns.
    #[must_use]
    pub fn new(title: &'static str, header: &[&'static str]) -> Self {
        Self {
            title,
            header: header.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, with one cell for each column of the header.
    pub fn add(&mut self, cells: &[&dyn Display]) {
        let row = cells.iter().map(ToString::to_string);
        self.rows.push(row.collect());
    }
}

impl Display for ResultTable {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(formatter, "{}\n", self.title)?;
        writeln!(formatter, "| {} |", self.header.join(" | "))?;
        let separators = vec!["---"; self.header.len()];
        writeln!(formatter, "| {} |", separators.join(" | "))?;
        for row in &self.rows {
            writeln!(formatter, "| {} |", row.join(" | "))?;
        }
        Ok(())
    }
}
