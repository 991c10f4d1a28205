//! Text in aligned columns.

const COLUMN_SEPARATOR: &str = "  ";

/// Rows of cells, displayed in left-aligned columns.
///
/// Control characters are escaped, so that a name or a reason cannot send control
/// sequences to the terminal.
///
/// # Examples
///
/// ```
/// use sapphirestile_command::output::TextTable;
///
/// let mut table = TextTable::new(&["ZONE", "STATE"]);
/// table.push(["rannikko-hki".to_owned(), "in".to_owned()]);
/// table.push(["oulu".to_owned(), "o\u{1b}ut".to_owned()]);
/// assert_eq!(
///     table.to_string(),
///     "ZONE          STATE\nrannikko-hki  in\noulu          o\\u{1b}ut\n"
/// );
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// A table with these column headers and no rows yet; `headers` may be empty, for a
    /// table without a header row.
    #[must_use]
    pub fn new(headers: &[&str]) -> Self {
        let mut table = Self::default();
        if !headers.is_empty() {
            table.push(headers.iter().map(|header| (*header).to_owned()));
        }
        table
    }

    /// A table with these column headers and, for each entry, the row that `cells`
    /// returns.
    #[must_use]
    pub fn from_entries<T>(
        headers: &[&str],
        entries: &[T],
        cells: impl Fn(&T) -> Vec<String>,
    ) -> Self {
        let mut table = Self::new(headers);
        for entry in entries {
            table.push(cells(entry));
        }
        table
    }

    /// Adds a row. Rows may have different numbers of cells.
    pub fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(
            cells
                .into_iter()
                .map(|cell| escape_control_characters(&cell))
                .collect(),
        );
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        (0..columns)
            .map(|column| {
                let cells = self.rows.iter().filter_map(|row| row.get(column));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            })
            .collect()
    }
}

impl std::fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line = cells
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect::<Vec<_>>()
                .join(COLUMN_SEPARATOR);
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Returns `text` with control characters, also line breaks, as escapes.
pub(crate) fn escape_control_characters(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_control() {
            escaped.extend(character.escape_debug());
        } else {
            escaped.push(character);
        }
    }
    escaped
}
