//! The error of an invalid name.

/// The longest name that is accepted, in characters.
pub const NAME_LENGTH_MAX: usize = 63;

/// The error of a text that is not a valid name. Its message shows the text, the kind
/// of name and the rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameError {
    kind: &'static str,
    text: Box<str>,
}

impl std::fmt::Display for NameError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:?} is not a {}: use 1 to {NAME_LENGTH_MAX} of a-z, 0-9, '-' and '.', \
             beginning with a letter or a digit",
            self.text, self.kind
        )
    }
}

impl std::error::Error for NameError {}

pub(crate) fn check_name(kind: &'static str, text: &str) -> Result<(), NameError> {
    let length_fits = !text.is_empty() && text.len() <= NAME_LENGTH_MAX;
    let start_fits = text.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit());
    if length_fits && start_fits && text.chars().all(is_name_character) {
        return Ok(());
    }
    let shown = text.chars().take(NAME_LENGTH_MAX + 1).collect::<String>();
    Err(NameError {
        kind,
        text: shown.into(),
    })
}

fn is_name_character(character: char) -> bool {
    character.is_ascii_lowercase() || character.is_ascii_digit() || matches!(character, '-' | '.')
}
