//! Parses a file table by table and continues after faults.
//!
//! `serde` stops at the first error, but operators should see all faults at once. Tables are
//! therefore read key by key: an invalid value is reported and replaced by a placeholder.

use std::ops::Range;
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::fault::ConfigFault;
use crate::fault::ConfigFile;
use crate::fault::FaultKind;
use crate::field::FieldValue;
use crate::field::ValueExcerpt;

/// A parsed file with the positions of its keys.
pub struct ConfigSource<'i> {
    file: ConfigFile,
    root: Spanned<DeTable<'i>>,
    line_starts: Vec<usize>,
}

/// Separators of the segments of a path.
const PATH_SEPARATORS: [char; 3] = ['.', '[', ']'];

impl<'i> ConfigSource<'i> {
    /// Parses `text`. Syntax errors are added to `faults`, and the valid parts are kept.
    pub fn parse(file: ConfigFile, text: &'i str, faults: &mut Vec<ConfigFault>) -> Self {
        let (root, errors) = DeTable::parse_recoverable(text);
        let line_breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        let line_starts = std::iter::once(0).chain(line_breaks).collect();
        let source = Self { file, root, line_starts };
        faults.extend(errors.iter().map(|error| source.syntax_fault(error)));
        source
    }

    /// Creates a reader for the root table.
    pub fn reader<'s>(&'s self, faults: &'s mut Vec<ConfigFault>) -> TableReader<'s, 'i> {
        TableReader::new(self, self.root.get_ref(), String::new(), None, faults)
    }

    /// Creates a fault at `path`, with the line of that key or of its nearest existing ancestor.
    pub fn fault(
        &self,
        path: String,
        kind: FaultKind,
        found: String,
        expected: String,
    ) -> ConfigFault {
        let line = self.line_of(&path);
        ConfigFault { file: self.file, path, line, kind, found, expected }
    }

    /// Line of the key at `path` or of its nearest existing ancestor, counted from 1. `None` if the
    /// first segment does not exist.
    pub fn line_of(&self, path: &str) -> Option<u32> {
        let mut segments = path.split(PATH_SEPARATORS).filter(|segment| !segment.is_empty());
        let first = segments.next()?;
        let (key, value) = self.root.get_ref().get_key_value(first)?;
        let mut span = key.span();
        let mut value = value.get_ref();
        for segment in segments {
            let Some((next_span, next)) = descend(value, segment) else { break };
            span = next_span;
            value = next;
        }
        Some(self.line_at(span.start))
    }

    fn line_at(&self, offset: usize) -> u32 {
        let line = self.line_starts.partition_point(|&start| start <= offset);
        u32::try_from(line).unwrap_or(u32::MAX)
    }

    fn syntax_fault(&self, error: &toml::de::Error) -> ConfigFault {
        ConfigFault {
            file: self.file,
            path: String::new(),
            line: error.span().map(|span| self.line_at(span.start)),
            kind: FaultKind::Syntax,
            found: error.message().to_owned(),
            expected: "TOML".to_owned(),
        }
    }
}

fn descend<'v, 'i>(
    value: &'v DeValue<'i>,
    segment: &str,
) -> Option<(Range<usize>, &'v DeValue<'i>)> {
    if let Some(table) = value.as_table() {
        let (key, child) = table.get_key_value(segment)?;
        return Some((key.span(), child.get_ref()));
    }
    let index: usize = segment.parse().ok()?;
    let child = value.as_array()?.get(index)?;
    Some((child.span(), child.get_ref()))
}

/// Reads the keys of a table and reports faults.
pub struct TableReader<'s, 'i> {
    source: &'s ConfigSource<'i>,
    table: &'s DeTable<'i>,
    path: String,
    line: Option<u32>,
    known: Vec<&'static str>,
    faults: &'s mut Vec<ConfigFault>,
}

impl<'s, 'i> TableReader<'s, 'i> {
    fn new(
        source: &'s ConfigSource<'i>,
        table: &'s DeTable<'i>,
        path: String,
        line: Option<u32>,
        faults: &'s mut Vec<ConfigFault>,
    ) -> Self {
        Self { source, table, path, line, known: Vec::new(), faults }
    }

    /// Reads `key`. If it is absent or invalid, reports a fault and returns the placeholder.
    pub fn required<T: FieldValue>(&mut self, key: &'static str, placeholder: T) -> T {
        if !self.table.contains_key(key) {
            let path = self.child_path(key);
            self.report(path, self.line, FaultKind::MissingKey, "no such key", T::EXPECTED);
        }
        self.optional(key).unwrap_or(placeholder)
    }

    /// Reads `key`. Returns the default if it is absent or, after reporting a fault, if it is
    /// invalid.
    pub fn or_default<T: FieldValue>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Reads `key`. Returns `None` if it is absent or, after reporting a fault, if it is invalid.
    pub fn optional<T: FieldValue>(&mut self, key: &'static str) -> Option<T> {
        let value = self.value(key)?;
        let path = self.child_path(key);
        self.read(path, value)
    }

    /// Like [`Self::or_default`], and checks limits.
    pub fn within<T>(&mut self, key: &'static str, default: T, limits: RangeInclusive<T>) -> T
    where
        T: FieldValue + PartialOrd,
    {
        self.optional_within(key, limits).unwrap_or(default)
    }

    /// Like [`Self::optional`], and checks limits.
    pub fn optional_within<T>(&mut self, key: &'static str, limits: RangeInclusive<T>) -> Option<T>
    where
        T: FieldValue + PartialOrd,
    {
        let value: T = self.optional(key)?;
        if limits.contains(&value) {
            return Some(value);
        }
        let expected = format_limits(&limits);
        self.reject(key, FaultKind::OutOfRange, value.show(), expected);
        None
    }

    /// Like [`Self::required`], and checks limits. The placeholder is the lower limit.
    pub fn required_within<T>(&mut self, key: &'static str, limits: RangeInclusive<T>) -> T
    where
        T: FieldValue + PartialOrd + Copy,
    {
        if !self.table.contains_key(key) {
            let path = self.child_path(key);
            let expected = format_limits(&limits);
            self.report(path, self.line, FaultKind::MissingKey, "no such key", &expected);
        }
        let min = *limits.start();
        self.within(key, min, limits)
    }

    /// Reads the list at `key`. Returns the valid values and their indices.
    pub fn list<T: FieldValue>(&mut self, key: &'static str) -> Vec<(usize, T)> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            let found = ValueExcerpt(value.get_ref()).to_string();
            self.reject(key, FaultKind::WrongType, found, "a list".to_owned());
            return Vec::new();
        };
        let path = self.child_path(key);
        let read = |(index, item): (usize, &'s Spanned<DeValue<'i>>)| {
            Some((index, self.read(format!("{path}[{index}]"), item)?))
        };
        items.iter().enumerate().filter_map(read).collect()
    }

    /// Reads the table at `key`. An absent table is read as an empty one.
    pub fn table<R>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut TableReader<'_, 'i>) -> R,
    ) -> R {
        let path = self.child_path(key);
        let empty = DeTable::new();
        let value = self.value(key);
        let table = value.and_then(|value| value.get_ref().as_table());
        if let (Some(value), None) = (value, table) {
            let found = ValueExcerpt(value.get_ref()).to_string();
            self.reject(key, FaultKind::WrongType, found, "a table".to_owned());
        }
        let line = value.and_then(|_| self.source.line_of(&path));
        let table = table.unwrap_or(&empty);
        let mut reader = TableReader::new(self.source, table, path, line, self.faults);
        let outcome = read(&mut reader);
        reader.finish();
        outcome
    }

    /// Reads all tables of the list at `key`.
    pub fn tables<R>(
        &mut self,
        key: &'static str,
        mut read: impl FnMut(&mut TableReader<'_, 'i>) -> R,
    ) -> Vec<R> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            let found = ValueExcerpt(value.get_ref()).to_string();
            self.reject(key, FaultKind::WrongType, found, format!("[[{key}]] entries"));
            return Vec::new();
        };
        let mut outcomes = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            let path = format!("{}[{index}]", self.child_path(key));
            let line = Some(self.source.line_at(item.span().start));
            let Some(table) = item.get_ref().as_table() else {
                let found = ValueExcerpt(item.get_ref()).to_string();
                self.report(path, line, FaultKind::WrongType, &found, "a table");
                continue;
            };
            let mut reader = TableReader::new(self.source, table, path, line, self.faults);
            outcomes.push(read(&mut reader));
            reader.finish();
        }
        outcomes
    }

    /// Whether the value at `key` is a string.
    pub fn is_string(&self, key: &str) -> bool {
        self.table.get(key).is_some_and(|value| value.get_ref().is_str())
    }

    /// Reports a fault of the value at `key`.
    pub fn reject(&mut self, key: &str, kind: FaultKind, found: String, expected: String) {
        let path = self.child_path(key);
        let line = self.source.line_of(&path).or(self.line);
        self.report(path, line, kind, &found, &expected);
    }

    /// Reports all keys that were not read as unknown.
    pub fn finish(self) {
        let expected = format!("one of {}", self.known.join(", "));
        for (key, _) in self.table.iter() {
            if self.known.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let path = join_path(&self.path, key.get_ref());
            let line = Some(self.source.line_at(key.span().start));
            self.faults.push(ConfigFault {
                file: self.source.file,
                path,
                line,
                kind: FaultKind::UnknownKey,
                found: key.get_ref().to_string(),
                expected: expected.clone(),
            });
        }
    }

    fn value(&mut self, key: &'static str) -> Option<&'s Spanned<DeValue<'i>>> {
        self.known.push(key);
        self.table.get(key)
    }

    fn read<T: FieldValue>(&mut self, path: String, value: &Spanned<DeValue<'i>>) -> Option<T> {
        let line = Some(self.source.line_at(value.span().start));
        match T::read(value.get_ref()) {
            Ok(value) => Some(value),
            Err(kind) => {
                let found = ValueExcerpt(value.get_ref()).to_string();
                self.report(path, line, kind, &found, T::EXPECTED);
                None
            }
        }
    }

    fn child_path(&self, key: &str) -> String {
        join_path(&self.path, key)
    }

    fn report(
        &mut self,
        path: String,
        line: Option<u32>,
        kind: FaultKind,
        found: &str,
        expected: &str,
    ) {
        let file = self.source.file;
        let (found, expected) = (found.to_owned(), expected.to_owned());
        self.faults.push(ConfigFault { file, path, line, kind, found, expected });
    }
}

fn format_limits<T: FieldValue>(limits: &RangeInclusive<T>) -> String {
    format!("{} to {}", limits.start().show(), limits.end().show())
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
