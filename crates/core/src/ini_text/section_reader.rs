//! Reads the keys of one section.

use std::str::FromStr;

use ini::Properties;

use crate::IniFault;

const HIDDEN_VALUE: &str = "(not shown)";

/// Reads the keys of one section and adds each fault to a list.
///
/// Call [`SectionReader::finish`] last: it refuses keys that nothing has read.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::SectionReader;
///
/// let text = ini::Ini::load_from_str("[limits]\nslots = many\n").unwrap();
/// let mut faults = Vec::new();
/// let mut reader = SectionReader::new("limits", text.section(Some("limits")).unwrap(), &mut faults);
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
    read: Vec<&'static str>,
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
            read: Vec::new(),
            holds_secret: false,
        }
    }

    /// The text at `key`, or a fault when it is missing.
    pub fn text(&mut self, key: &'static str, expected: &str) -> Option<&'a str> {
        let found = self.optional_text(key);
        if found.is_none() {
            self.fault(key, "", expected);
        }
        found
    }

    /// The text at `key`, if it is there.
    pub fn optional_text(&mut self, key: &'static str) -> Option<&'a str> {
        self.read.push(key);
        self.properties.get(key)
    }

    /// The number at `key`, or a fault when it is missing or no such number.
    pub fn number<N: FromStr>(&mut self, key: &'static str, expected: &str) -> Option<N> {
        let text = self.text(key, expected)?;
        self.parse(key, text, expected)
    }

    /// The number at `key`, or `default` when the key is missing.
    pub fn number_or<N: FromStr>(
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

    /// The number at `key` within `range`; `default` when the key is missing and
    /// there is one.
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

    /// The checked value at `key`, or a fault when it is missing or refused.
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

    /// The checked value at `key`; from here on no fault shows a value.
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

    /// Adds a fault at `key`.
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

    /// Refuses every key that nothing has read, and every key given twice.
    pub fn finish(mut self) {
        let known = self.read.join(", ");
        let mut seen: Vec<&str> = Vec::new();
        for (key, value) in self.properties {
            if !self.read.contains(&key) {
                self.fault(key, value, &format!("one of the keys {known}"));
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
