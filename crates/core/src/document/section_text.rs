//! Line-based editing of one section of an INI text.

/// An INI text and the position of one of its sections.
pub(super) struct SectionText<'t> {
    section: &'t str,
    lines: Vec<&'t str>,
    header: Option<usize>,
}

impl<'t> SectionText<'t> {
    /// Finds the section with the header `section` in `text`, which need not have it.
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

    /// Returns the text with the keys of the section set to these values; a missing
    /// section is added at the end.
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
            let index = (header + 1..end).find(|index| entry_key(&lines[*index]) == Some(key));
            if let Some(index) = index {
                lines[index] = entry_line(key, value);
            } else {
                lines.insert(end, entry_line(key, value));
                end += 1;
            }
        }
        joined(&lines)
    }

    /// Returns the text without the section.
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

    // The line after the section's last entry. Comments below that entry belong to the
    // section that follows, so an edit keeps them there.
    fn end(&self, header: usize) -> usize {
        let body = &self.lines[header + 1..];
        let next = body.iter().position(|line| header_name(line).is_some());
        let body = &body[..next.unwrap_or(body.len())];
        let last = body.iter().rposition(|line| entry_key(line).is_some());
        header + 1 + last.map_or(0, |index| index + 1)
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
