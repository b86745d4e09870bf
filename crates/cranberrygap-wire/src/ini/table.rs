//! One section of an INI text with the lines it came from.

use ini::Ini;
use smol_str::SmolStr;

use super::Mistakes;
use crate::operator;

/// One `key = value`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: SmolStr,
    /// The value, trimmed.
    pub value: SmolStr,
    /// Line in the text, from 1.
    pub line: u64,
}

/// One `[section]` with its entries in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    /// Text between the brackets; empty for entries before any section.
    pub name: SmolStr,
    /// Line of the brackets, from 1.
    pub line: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

impl Table {
    pub(super) fn empty(name: &str) -> Self {
        Self {
            name: name.into(),
            line: 0,
            entries: Vec::new(),
        }
    }

    /// The entry under `key`.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    /// A mistake that concerns the section as a whole.
    #[must_use]
    pub fn mistake(&self, expected: String) -> operator::Mistake {
        operator::Mistake {
            line: self.line,
            section: self.name.clone(),
            key: SmolStr::default(),
            found: self.name.clone(),
            expected: expected.into(),
        }
    }

    /// A mistake in one entry.
    #[must_use]
    pub fn wrong(&self, entry: &Entry, expected: String) -> operator::Mistake {
        operator::Mistake {
            line: entry.line,
            section: self.name.clone(),
            key: entry.key.clone(),
            found: entry.value.clone(),
            expected: expected.into(),
        }
    }

    /// A mistake for a key that is not there.
    #[must_use]
    pub fn missing(&self, key: &str, description: &str) -> operator::Mistake {
        operator::Mistake {
            line: self.line,
            section: self.name.clone(),
            key: key.into(),
            found: SmolStr::default(),
            expected: format!("this key, which is missing: {description}").into(),
        }
    }
}

/// Reads the sections of `text`, equal names kept apart.
///
/// # Errors
///
/// The place at which the text stops being INI.
pub fn parse(text: &str) -> Result<Vec<Table>, Mistakes> {
    let options = ini::ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..Default::default()
    };
    let document = Ini::load_from_str_opt(text, options).map_err(|cause| not_ini(&cause))?;
    let mut lines = Lines::new(text);
    let mut tables = Vec::new();
    for (name, properties) in &document {
        if name.is_none() && properties.is_empty() {
            continue;
        }
        let name = name.unwrap_or_default();
        let line = lines.section(name);
        let entries = properties
            .iter()
            .map(|(key, value)| lines.entry(key, value))
            .collect();
        tables.push(Table {
            name: name.into(),
            line,
            entries,
        });
    }
    Ok(tables)
}

fn not_ini(cause: &ini::ParseError) -> Mistakes {
    Mistakes(vec![operator::Mistake {
        line: cause.line as u64,
        section: SmolStr::default(),
        key: SmolStr::default(),
        found: cause.msg.as_ref().into(),
        expected: "[section] or key = value".into(),
    }])
}

/// Finds the line of each section and key; the parser reports none.
struct Lines<'text> {
    text: Vec<&'text str>,
    position: usize,
}

impl<'text> Lines<'text> {
    fn new(text: &'text str) -> Self {
        Self {
            text: text.lines().collect(),
            position: 0,
        }
    }

    fn section(&mut self, name: &str) -> u64 {
        if name.is_empty() {
            return 0;
        }
        self.advance(|line| {
            let inner = line
                .strip_prefix('[')
                .and_then(|rest| rest.split(']').next());
            inner.is_some_and(|inner| inner.trim() == name)
        })
    }

    fn entry(&mut self, key: &str, value: &str) -> Entry {
        let line = self.advance(|line| {
            let found = line.split(['=', ':']).next();
            found.is_some_and(|found| found.trim() == key)
        });
        Entry {
            key: key.trim().into(),
            value: value.trim().into(),
            line,
        }
    }

    fn advance(&mut self, fits: impl Fn(&str) -> bool) -> u64 {
        let rest = self.text.iter().skip(self.position);
        let Some(offset) = rest.map(|line| line.trim()).position(fits) else {
            return 0;
        };
        self.position += offset + 1;
        self.position as u64
    }
}
