//! Reading of the keys of one INI section.

use std::str::FromStr;

use ini::Properties;

use crate::IniFault;

const HIDDEN_VALUE: &str = "(not shown)";

/// Reads the keys of one section and adds each fault to a list.
///
/// Call [`SectionReader::finish`] last: it reports the keys that were not read.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::SectionReader;
///
/// let text = ini::Ini::load_from_str("[limits]\nslots = many\n").unwrap();
/// let mut faults = Vec::new();
/// let keys = text.section(Some("limits")).unwrap();
/// let mut reader = SectionReader::new("limits", keys, &mut faults);
/// assert_eq!(reader.number::<u32>("slots", "a whole number of slots"), None);
/// reader.finish();
/// assert_eq!(
///     faults[0].to_string(),
///     "[limits] slots = \"many\": expected a whole number of slots"
/// );
/// ```
pub struct SectionReader<'a> {
    section: &'a str,
    properties: &'a Properties,
    faults: &'a mut Vec<IniFault>,
    known_keys: Vec<&'static str>,
    holds_secret: bool,
}

impl<'a> SectionReader<'a> {
    /// A reader of `properties`, the keys of `section`.
    #[must_use]
    pub fn new(
        section: &'a str,
        properties: &'a Properties,
        faults: &'a mut Vec<IniFault>,
    ) -> Self {
        Self {
            section,
            properties,
            faults,
            known_keys: Vec::new(),
            holds_secret: false,
        }
    }

    /// The text at `key`; adds a fault and returns `None` when it is missing.
    pub fn text(&mut self, key: &'static str, expected: &str) -> Option<&'a str> {
        let found = self.optional_text(key);
        if found.is_none() {
            self.fault(key, "", expected);
        }
        found
    }

    /// The text at `key`, or `None` when it is missing.
    pub fn optional_text(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.push(key);
        self.properties.get(key)
    }

    /// The number at `key`; adds a fault and returns `None` when it is missing or does
    /// not parse.
    pub fn number<N: FromStr>(&mut self, key: &'static str, expected: &str) -> Option<N> {
        let text = self.text(key, expected)?;
        self.parse(key, text, expected)
    }

    /// The parsed value at `key`, or `default` when the key is missing; adds a fault
    /// and returns `None` when the value does not parse.
    pub fn value_or<N: FromStr>(
        &mut self,
        key: &'static str,
        default: N,
        expected: &str,
    ) -> Option<N> {
        match self.optional_text(key) {
            Some(text) => self.parse(key, text, expected),
            None => Some(default),
        }
    }

    /// The number at `key`, or `default` when the key is missing.
    ///
    /// Adds a fault and returns `None` when the number does not parse or is outside
    /// `range`, or when the key is missing and there is no default.
    pub fn ranged<N: FromStr + PartialOrd>(
        &mut self,
        key: &'static str,
        default: Option<N>,
        range: std::ops::RangeInclusive<N>,
        expected: &str,
    ) -> Option<N> {
        let text = match (self.optional_text(key), default) {
            (Some(text), _) => text,
            (None, Some(default)) => return Some(default),
            (None, None) => {
                self.fault(key, "", expected);
                return None;
            }
        };
        let number = self.parse(key, text, expected)?;
        if range.contains(&number) {
            return Some(number);
        }
        self.fault(key, text, expected);
        None
    }

    /// The value at `key` converted to `T`; adds a fault and returns `None` when the key
    /// is missing or the conversion fails.
    pub fn checked<'t, T>(&mut self, key: &'static str, expected: &str) -> Option<T>
    where
        T: TryFrom<&'t str>,
        T::Error: std::fmt::Display,
        'a: 't,
    {
        let text = self.text(key, expected)?;
        match T::try_from(text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(key, text, &format!("{expected} ({error})"));
                None
            }
        }
    }

    /// The secret at `key` converted to `T`; adds a fault and returns `None` when the
    /// key is missing or the conversion fails.
    ///
    /// This fault and all later ones of the section hide the value.
    pub fn secret<'t, T>(&mut self, key: &'static str, expected: &str) -> Option<T>
    where
        T: TryFrom<&'t str>,
        'a: 't,
    {
        self.holds_secret = true;
        let text = self.text(key, expected)?;
        let value = T::try_from(text).ok();
        if value.is_none() {
            self.fault(key, text, expected);
        }
        value
    }

    /// Adds a fault for `value` at `key`. The value is hidden after
    /// [`SectionReader::secret`] was called.
    pub fn fault(&mut self, key: &str, value: &str, expected: &str) {
        let hidden = self.holds_secret && !value.is_empty();
        let value = if hidden { HIDDEN_VALUE } else { value };
        self.faults.push(IniFault {
            section: self.section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            expected: expected.to_owned(),
        });
    }

    /// Adds a fault for each key that was not read and for each key given twice.
    pub fn finish(mut self) {
        let known_keys = self.known_keys.join(", ");
        let mut seen: Vec<&str> = Vec::new();
        for (key, value) in self.properties {
            if !self.known_keys.contains(&key) {
                self.fault(key, value, &format!("one of the keys {known_keys}"));
            }
            if seen.contains(&key) {
                self.fault(key, value, "each key once in a section");
            }
            seen.push(key);
        }
    }

    fn parse<N: FromStr>(&mut self, key: &str, text: &str, expected: &str) -> Option<N> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.fault(key, text, expected);
        }
        parsed
    }
}
