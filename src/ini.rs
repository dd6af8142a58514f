//! INI documents with line numbers, and a section reader that collects all faults instead of
//! stopping at the first.

use std::fmt;
use std::str::FromStr;

use ini_core::{Item, Parser};

use crate::error::{Error, Result};

/// A fault in a document, with its position.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("line {line}: [{section}] {key}: {message}")]
pub struct Fault {
    /// Name of the section as written, without brackets.
    pub section: String,
    /// Key inside the section; `-` if the fault concerns the section as a whole.
    pub key: String,
    /// Line of the document, counted from 1.
    pub line: u32,
    /// What is wrong, and what is expected instead.
    pub message: String,
}

/// All faults of one document; [`Error::Invalid`] holds them sorted by line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{fault}")?;
        }
        Ok(())
    }
}

impl Faults {
    /// Adds a fault at the line of `key`, or at the section's header if the section lacks the key.
    pub(crate) fn add(&mut self, section: &Section, key: &str, message: impl Into<String>) {
        let line = section.find(key).map_or(section.line, |entry| entry.line);
        self.0.push(Fault {
            section: section.title(),
            key: key.to_owned(),
            line,
            message: message.into(),
        });
    }

    /// Returns `value` if there are no faults, or else all faults sorted by line.
    pub(crate) fn into_result<T>(mut self, value: impl FnOnce() -> T) -> Result<T> {
        if self.0.is_empty() {
            return Ok(value());
        }
        self.0.sort_by_key(|fault| fault.line);
        Err(Error::Invalid(self))
    }
}

/// A `key = value` line.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub key: String,
    pub value: String,
    pub line: u32,
}

/// A section; `[route booking]` has the kind `route` and the name `booking`.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    pub kind: String,
    pub name: String,
    pub line: u32,
    pub entries: Vec<Entry>,
}

impl Section {
    /// Parses a section header; the section has no entries yet.
    pub(crate) fn parse(header: &str, line: u32) -> Self {
        let (kind, name) = header.trim().split_once(' ').unwrap_or((header.trim(), ""));
        Self {
            kind: kind.to_owned(),
            name: name.trim().to_owned(),
            line,
            entries: Vec::new(),
        }
    }

    /// The header as written, without brackets.
    pub(crate) fn title(&self) -> String {
        if self.name.is_empty() {
            self.kind.clone()
        } else {
            format!("{} {}", self.kind, self.name)
        }
    }

    pub(crate) fn find(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}

/// A parsed document.
#[derive(Clone, Debug, Default)]
pub(crate) struct Document {
    /// Sections in file order.
    pub sections: Vec<Section>,
}

impl Document {
    /// Parses `text`; lines that are no header, entry or comment, and duplicates, are faults.
    pub(crate) fn parse(text: &str, faults: &mut Faults) -> Self {
        let mut document = Self::default();
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            let Some(item) = parser.next() else { break };
            document.add_item(item, line, faults);
        }
        document
    }

    fn add_item(&mut self, item: Item<'_>, line: u32, faults: &mut Faults) {
        match item {
            Item::Section(header) => self.add_section(Section::parse(header, line), faults),
            Item::Property(key, Some(value)) => match self.sections.last_mut() {
                Some(section) if section.find(key).is_none() => {
                    section.entries.push(Entry {
                        key: key.to_owned(),
                        value: value.to_owned(),
                        line,
                    });
                }
                Some(section) => faults.0.push(fault(
                    &section.title(),
                    key,
                    line,
                    "duplicate key in this section",
                )),
                None => faults
                    .0
                    .push(fault("", key, line, "key before the first section")),
            },
            Item::Property(key, None) => {
                let title = self.sections.last().map(Section::title).unwrap_or_default();
                faults
                    .0
                    .push(fault(&title, key, line, message_without_value(key)));
            }
            Item::Error(text) => faults.0.push(fault(
                text,
                "-",
                line,
                "is not a section header '[kind name]'",
            )),
            Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
        }
    }

    fn add_section(&mut self, section: Section, faults: &mut Faults) {
        let is_duplicate = self
            .sections
            .iter()
            .any(|other| other.kind == section.kind && other.name == section.name);
        if is_duplicate {
            faults.add(&section, "-", "duplicate section");
        }
        self.sections.push(section);
    }

    pub(crate) fn of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Section> {
        self.sections
            .iter()
            .filter(move |section| section.kind == kind)
    }

    /// Adds a fault for every section whose kind is not one of `known`.
    pub(crate) fn check_kinds(&self, known: &[&str], faults: &mut Faults) {
        for section in &self.sections {
            if !known.contains(&section.kind.as_str()) {
                faults.add(
                    section,
                    "-",
                    format!("unknown section; known are: {}", known.join(", ")),
                );
            }
        }
    }
}

/// Message for a line that has no `=`.
fn message_without_value(line: &str) -> &'static str {
    if line.starts_with('#') {
        "comments begin with ';'"
    } else {
        "expected 'key = value'"
    }
}

fn fault(section: &str, key: &str, line: u32, message: &str) -> Fault {
    Fault {
        section: section.to_owned(),
        key: key.to_owned(),
        line,
        message: message.to_owned(),
    }
}

/// Reads the entries of one section, collects faults, and records which keys are known.
pub(crate) struct Reader<'a> {
    section: &'a Section,
    faults: &'a mut Faults,
    known_keys: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(section: &'a Section, faults: &'a mut Faults) -> Self {
        Self {
            section,
            faults,
            known_keys: Vec::new(),
        }
    }

    /// Returns the text of an optional key.
    pub(crate) fn text(&mut self, key: &'static str) -> Option<String> {
        self.known_keys.push(key);
        self.section.find(key).map(|entry| entry.value.clone())
    }

    /// Returns the text of a key that must be present and not empty.
    pub(crate) fn required(&mut self, key: &'static str) -> String {
        let value = self.text(key).unwrap_or_default();
        if value.is_empty() {
            self.faults.add(self.section, key, "is required");
        }
        value
    }

    /// Parses the value of an optional key; `expected` describes valid values in the message of a
    /// fault.
    pub(crate) fn parsed<T: FromStr>(&mut self, key: &'static str, expected: &str) -> Option<T> {
        let value = self.text(key)?;
        if let Ok(parsed) = value.parse() {
            Some(parsed)
        } else {
            self.faults.add(
                self.section,
                key,
                format!("'{value}' found, expected {expected}"),
            );
            None
        }
    }

    /// Parses the value of a required key, like [`Reader::parsed`].
    pub(crate) fn required_parsed<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &str,
    ) -> Option<T> {
        if self.section.find(key).is_none() {
            self.known_keys.push(key);
            self.faults
                .add(self.section, key, format!("is required: {expected}"));
            return None;
        }
        self.parsed(key, expected)
    }

    /// Returns a whole number inside `range`, or `default` if the key is absent.
    pub(crate) fn number(
        &mut self,
        key: &'static str,
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let number = self.parsed(key, &expected).unwrap_or(default);
        if !range.contains(&number) && self.section.find(key).is_some() {
            self.faults.add(
                self.section,
                key,
                format!("'{number}' found, expected {expected}"),
            );
        }
        number
    }

    /// Returns whether the value is `yes` rather than `no`, or `default` if the key is absent.
    pub(crate) fn flag(&mut self, key: &'static str, default: bool) -> bool {
        match self.text(key).as_deref() {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.faults.add(
                    self.section,
                    key,
                    format!("'{other}' found, expected yes or no"),
                );
                default
            }
        }
    }

    /// Adds a fault at `key`.
    pub(crate) fn reject(&mut self, key: &str, message: impl Into<String>) {
        self.faults.add(self.section, key, message);
    }

    /// Adds a fault for every entry of the section whose key was not read.
    pub(crate) fn finish(self) {
        for entry in &self.section.entries {
            if !self.known_keys.contains(&entry.key.as_str()) {
                let message = format!("unknown key; known are: {}", self.known_keys.join(", "));
                self.faults.add(self.section, &entry.key, message);
            }
        }
    }
}
