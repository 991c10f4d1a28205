//! What differs between two documents.

use crate::EntryChange;
use crate::ParsedIni;
use crate::SortedTable;

type EntryTable<'t> = SortedTable<(&'t str, &'t str), &'t str>;

/// The entries that differ between two texts, whatever their order and comments.
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
    /// The changes in the order of sections and keys.
    pub changes: Vec<EntryChange>,
}

impl DocumentDifference {
    /// Compares two texts; one that is no INI text counts as empty.
    #[must_use]
    pub fn between(before: &str, after: &str) -> Self {
        let before = ParsedIni::try_from(before).ok();
        let after = ParsedIni::try_from(after).ok();
        let old_table = entries(before.as_ref());
        let new_table = entries(after.as_ref());
        let mut changes = Vec::new();
        for (place, value) in old_table.iter() {
            let found = new_table.get(place).copied();
            if found != Some(*value) {
                changes.push(change(*place, Some(value), found));
            }
        }
        for (place, value) in new_table.iter() {
            if !old_table.contains(place) {
                changes.push(change(*place, None, Some(value)));
            }
        }
        changes.sort_by(|a, b| (&a.section, &a.key).cmp(&(&b.section, &b.key)));
        Self { changes }
    }

    /// One line for each change.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.changes.iter().map(ToString::to_string).collect()
    }
}

fn entries(ini: Option<&ParsedIni>) -> EntryTable<'_> {
    let sections = ini.into_iter().flat_map(ParsedIni::sections);
    sections
        .flat_map(|(section, keys)| keys.iter().map(move |(key, value)| ((section, key), value)))
        .collect()
}

fn change(place: (&str, &str), before: Option<&str>, after: Option<&str>) -> EntryChange {
    EntryChange {
        section: place.0.to_owned(),
        key: place.1.to_owned(),
        before: before.map(str::to_owned),
        after: after.map(str::to_owned),
    }
}
