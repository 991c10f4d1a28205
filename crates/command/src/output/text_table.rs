//! A table of text.

const GAP: &str = "  ";

/// Rows of cells, written in columns.
///
/// Control characters are written as escapes, so that a name or a reason cannot
/// steer the terminal.
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
    /// A table with these column heads; without heads when there are none.
    #[must_use]
    pub fn new(heads: &[&str]) -> Self {
        let mut table = Self::default();
        if !heads.is_empty() {
            table.push(heads.iter().map(|head| (*head).to_owned()));
        }
        table
    }

    /// A table with these column heads and a row of cells for each entry.
    #[must_use]
    pub fn of<T>(heads: &[&str], entries: &[T], cells: impl Fn(&T) -> Vec<String>) -> Self {
        let mut table = Self::new(heads);
        for entry in entries {
            table.push(cells(entry));
        }
        table
    }

    /// Adds a row.
    pub fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows
            .push(cells.into_iter().map(|cell| printable(&cell)).collect());
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
                .join(GAP);
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

pub(crate) fn printable(text: &str) -> String {
    let mut shown = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_control() {
            shown.extend(character.escape_debug());
        } else {
            shown.push(character);
        }
    }
    shown
}
