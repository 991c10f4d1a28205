//! The fields of a form.

use std::str::FromStr;

use sapphirestile_core::IniFault;

const FIELDS_MAX: usize = 32;

/// The fields of a URL-encoded form, in order; at most 32.
///
/// # Examples
///
/// ```
/// use sapphirestile_daemon::console::FormFields;
///
/// let fields = FormFields::try_from(&b"zone=a&state=o%75t"[..]).unwrap();
/// assert_eq!(fields.get("state"), "out");
/// assert_eq!(fields.get("why"), "");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FormFields {
    pairs: Vec<(String, String)>,
}

impl TryFrom<&[u8]> for FormFields {
    type Error = &'static str;

    fn try_from(body: &[u8]) -> Result<Self, Self::Error> {
        let pairs = form_urlencoded::parse(body)
            .take(FIELDS_MAX + 1)
            .map(|(name, value)| (name.into_owned(), value.into_owned()))
            .collect::<Vec<_>>();
        if pairs.len() > FIELDS_MAX {
            return Err("a form has at most 32 fields");
        }
        Ok(Self { pairs })
    }
}

impl FormFields {
    /// The value of the first field called `name`; empty if there is none.
    #[must_use]
    pub fn get(&self, name: &str) -> &str {
        let pair = self.pairs.iter().find(|(found, _)| found == name);
        pair.map_or("", |(_, value)| value)
    }

    /// The names and values of the fields, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// The parsed value of the field `name`. If it cannot be parsed, adds a fault in
    /// `section` and returns `None`.
    pub(super) fn parsed<N: FromStr>(
        &self,
        section: &str,
        name: &str,
        expected: &str,
        faults: &mut Vec<IniFault>,
    ) -> Option<N> {
        let value = self.get(name).trim();
        let parsed = value.parse().ok();
        if parsed.is_none() {
            faults.push(IniFault {
                section: section.to_owned(),
                key: name.to_owned(),
                value: value.to_owned(),
                expected: expected.to_owned(),
            });
        }
        parsed
    }
}
