//! The difference of two documents.

use crate::ParsedIni;
use crate::SortedTable;
use crate::ValueChange;

type ValueTable<'t> = SortedTable<(&'t str, &'t str), &'t str>;

/// The keys whose values differ between two INI texts.
///
/// Comments and the order of sections and keys are ignored.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DocumentDifference;
///
/// let before = "[zone a]\nregion = r\nstate = in\n";
/// let after = "; storm\n[zone a]\nstate = out\nregion = r\n";
/// let difference = DocumentDifference::between(before, after);
/// assert_eq!(difference.changes[0].to_string(), "[zone a] state: in -> out");
/// assert_eq!(difference.changes.len(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentDifference {
    /// The changes, sorted by section and key.
    pub changes: Vec<ValueChange>,
}

impl DocumentDifference {
    /// Compares two texts; a text that is not valid INI counts as empty.
    #[must_use]
    pub fn between(before: &str, after: &str) -> Self {
        let before = ParsedIni::try_from(before).ok();
        let after = ParsedIni::try_from(after).ok();
        let old_table = values(before.as_ref());
        let new_table = values(after.as_ref());
        let mut changes = Vec::new();
        for (path, value) in old_table.iter() {
            let found = new_table.get(path).copied();
            if found != Some(*value) {
                changes.push(change(*path, Some(value), found));
            }
        }
        for (path, value) in new_table.iter() {
            if !old_table.contains(path) {
                changes.push(change(*path, None, Some(value)));
            }
        }
        changes.sort_by(|a, b| (&a.section, &a.key).cmp(&(&b.section, &b.key)));
        Self { changes }
    }

    /// The changes as text, one line for each.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.changes.iter().map(ToString::to_string).collect()
    }
}

fn values(ini: Option<&ParsedIni>) -> ValueTable<'_> {
    let sections = ini.into_iter().flat_map(ParsedIni::sections);
    sections
        .flat_map(|(section, keys)| keys.iter().map(move |(key, value)| ((section, key), value)))
        .collect()
}

fn change(path: (&str, &str), before: Option<&str>, after: Option<&str>) -> ValueChange {
    ValueChange {
        section: path.0.to_owned(),
        key: path.1.to_owned(),
        before: before.map(str::to_owned),
        after: after.map(str::to_owned),
    }
}
