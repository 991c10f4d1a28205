//! Strict parsing of INI text.

use ini::Ini;
use ini::Properties;

use crate::IniFault;

/// The longest INI text that is accepted, in bytes.
pub const INI_BYTES_MAX: usize = 400 * 1_024;
const SIZE_EXPECTED: &str = "at most 409600 bytes of text";
const LINE_EXPECTED: &str =
    "a comment, a [section] or `key = value`, without quotes, backslashes or control characters";
const BLANKS: [char; 2] = [' ', '\t'];

/// The sections of an INI text with their keys, in the order of the text.
///
/// The lines are checked before the text is parsed, because the parser silently skips
/// or joins some invalid lines.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::ParsedIni;
///
/// let ini = ParsedIni::try_from("[limits]\nslots = 8\n").unwrap();
/// let (section, keys) = ini.sections().next().unwrap();
/// assert_eq!((section, keys.get("slots")), ("limits", Some("8")));
///
/// let faults = ParsedIni::try_from("[limits]\nslots\n").unwrap_err();
/// assert_eq!(faults[0].key, "line 2");
/// ```
#[derive(Clone, Debug)]
pub struct ParsedIni {
    ini: Ini,
}

impl TryFrom<&str> for ParsedIni {
    type Error = Vec<IniFault>;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        if text.len() > INI_BYTES_MAX {
            let value = format!("{} bytes", text.len());
            return Err(vec![text_fault("", &value, SIZE_EXPECTED)]);
        }
        let faults = line_faults(text);
        if !faults.is_empty() {
            return Err(faults);
        }
        match Ini::load_from_str_noescape(&without_indentation(text)) {
            Ok(ini) => Ok(Self { ini }),
            Err(error) => Err(vec![text_fault(
                &format!("line {}", error.line),
                "",
                &format!("INI text ({})", error.msg),
            )]),
        }
    }
}

impl ParsedIni {
    /// The sections with their keys. Keys before the first header belong to a section
    /// with an empty name.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &Properties)> {
        self.ini
            .iter()
            .map(|(section, keys)| (section.unwrap_or(""), keys))
            .filter(|(section, keys)| !section.is_empty() || !keys.is_empty())
    }
}

// The parser joins an indented line with the line after it.
fn without_indentation(text: &str) -> String {
    let lines = text.split('\n').map(content_of).collect::<Vec<_>>();
    lines.join("\n")
}

fn content_of(line: &str) -> &str {
    line.strip_suffix('\r').unwrap_or(line).trim_matches(BLANKS)
}

fn line_faults(text: &str) -> Vec<IniFault> {
    text.split('\n')
        .map(content_of)
        .enumerate()
        .filter(|(_, content)| !is_ini_line(content))
        .map(|(index, content)| {
            // Only the key is shown, since the value may be a secret.
            let shown = content.split(['=', ':']).next().unwrap_or("");
            text_fault(&format!("line {}", index + 1), shown.trim(), LINE_EXPECTED)
        })
        .collect()
}

fn is_ini_line(content: &str) -> bool {
    let printable = content.chars().all(|c| !c.is_control() || c == '\t');
    let comment = content.starts_with([';', '#']);
    printable && (content.is_empty() || comment || is_header(content) || is_entry(content))
}

fn is_header(content: &str) -> bool {
    content
        .strip_prefix('[')
        .and_then(|rest| rest.strip_suffix(']'))
        .is_some_and(|name| !name.trim().is_empty() && !name.contains([']', '\\']))
}

fn is_entry(content: &str) -> bool {
    content.contains(['=', ':'])
        && !content.starts_with(['=', ':', '['])
        && !content.contains(['"', '\'', '\\'])
}

fn text_fault(location: &str, value: &str, expected: &str) -> IniFault {
    IniFault {
        section: String::new(),
        key: location.to_owned(),
        value: value.to_owned(),
        expected: expected.to_owned(),
    }
}
