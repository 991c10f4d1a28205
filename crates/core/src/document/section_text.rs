//! Edits one section of an INI text line by line.

/// A text and the lines of one of its sections.
pub(super) struct SectionText<'t> {
    section: &'t str,
    lines: Vec<&'t str>,
    header: Option<usize>,
}

impl<'t> SectionText<'t> {
    /// The section named `section` of `text`, which need not be there.
    pub(super) fn new(text: &'t str, section: &'t str) -> Self {
        let lines = text.lines().collect::<Vec<_>>();
        let header = lines
            .iter()
            .position(|line| header_name(line) == Some(section));
        Self {
            section,
            lines,
            header,
        }
    }

    /// The text with these values at these keys; a section that is not there is
    /// added at the end.
    pub(super) fn put(&self, pairs: &[(&str, String)]) -> String {
        let mut lines = owned(&self.lines);
        let Some(header) = self.header else {
            if !lines.is_empty() {
                lines.push(String::new());
            }
            lines.push(format!("[{}]", self.section));
            lines.extend(pairs.iter().map(|(key, value)| entry_line(key, value)));
            return joined(&lines);
        };
        let mut end = self.end(header);
        for (key, value) in pairs {
            let place = (header + 1..end).find(|place| entry_key(&lines[*place]) == Some(key));
            if let Some(place) = place {
                lines[place] = entry_line(key, value);
            } else {
                lines.insert(end, entry_line(key, value));
                end += 1;
            }
        }
        joined(&lines)
    }

    /// The text without the section.
    pub(super) fn remove(&self) -> String {
        let mut lines = owned(&self.lines);
        if let Some(header) = self.header {
            lines.drain(header..self.end(header));
            if header > 0 && lines[header - 1].trim().is_empty() {
                lines.remove(header - 1);
            }
        }
        joined(&lines)
    }

    // One line after the section's last entry: comments below it belong to what follows.
    fn end(&self, header: usize) -> usize {
        let body = &self.lines[header + 1..];
        let next = body.iter().position(|line| header_name(line).is_some());
        let body = &body[..next.unwrap_or(body.len())];
        let last = body.iter().rposition(|line| entry_key(line).is_some());
        header + 1 + last.map_or(0, |place| place + 1)
    }
}

fn header_name(line: &str) -> Option<&str> {
    let name = line.trim().strip_prefix('[')?.strip_suffix(']')?;
    Some(name.trim())
}

fn entry_key(line: &str) -> Option<&str> {
    let content = line.trim();
    if content.starts_with([';', '#', '[']) {
        return None;
    }
    let end = content.find(['=', ':'])?;
    Some(content[..end].trim())
}

fn entry_line(key: &str, value: &str) -> String {
    format!("{key} = {value}")
}

fn owned(lines: &[&str]) -> Vec<String> {
    lines.iter().map(|line| (*line).to_owned()).collect()
}

fn joined(lines: &[String]) -> String {
    let mut text = lines.join("\n");
    text.push('\n');
    text
}
