//! Escaped HTML.

use std::fmt::Write;

/// HTML in which everything is escaped except the markup in the program.
///
/// # Examples
///
/// ```
/// use sapphirestile_daemon::console::HtmlText;
///
/// let mut html = HtmlText::default();
/// html.raw("<td>").text("<b>\"a\" & 'b'</b>").raw("</td>");
/// assert_eq!(
///     html.into_string(),
///     "<td>&lt;b&gt;&quot;a&quot; &amp; &#39;b&#39;&lt;/b&gt;</td>"
/// );
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HtmlText {
    html: String,
}

impl HtmlText {
    /// Appends markup, which is not escaped and must be a literal of the program.
    pub fn raw(&mut self, markup: &'static str) -> &mut Self {
        self.html.push_str(markup);
        self
    }

    /// Appends a value, escaped for text and for quoted attributes. Control characters
    /// except line feeds and tabs are replaced with U+FFFD.
    pub fn text(&mut self, value: impl std::fmt::Display) -> &mut Self {
        let mut shown = String::new();
        write!(shown, "{value}").expect("writing to a string does not fail");
        for character in shown.chars() {
            match character {
                '&' => self.html.push_str("&amp;"),
                '<' => self.html.push_str("&lt;"),
                '>' => self.html.push_str("&gt;"),
                '"' => self.html.push_str("&quot;"),
                '\'' => self.html.push_str("&#39;"),
                '\n' | '\t' => self.html.push(character),
                _ if character.is_control() => self.html.push(char::REPLACEMENT_CHARACTER),
                _ => self.html.push(character),
            }
        }
        self
    }

    /// Appends HTML that is already escaped.
    pub fn append(&mut self, other: &Self) -> &mut Self {
        self.html.push_str(&other.html);
        self
    }

    /// The escaped HTML as a string.
    #[must_use]
    pub fn into_string(self) -> String {
        self.html
    }
}
