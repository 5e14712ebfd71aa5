//! Reads a file table by table and keeps going after each fault.
//!
//! `serde` stops at the first error of a document. Operators are to see every
//! fault in one run, so tables are walked key by key: a key that can't be read
//! is noted and its placeholder used, and the walk goes on.

use std::ops::Range;
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::fault::ConfigFault;
use crate::fault::ConfigFile;
use crate::fault::FaultKind;
use crate::field::FieldValue;
use crate::field::ShownValue;

/// One parsed file, with the position of every key.
pub struct ConfigSource<'i> {
    file: ConfigFile,
    root: Spanned<DeTable<'i>>,
    line_starts: Vec<usize>,
}

/// Characters of a path that end one step of it.
const PATH_MARKS: [char; 3] = ['.', '[', ']'];

impl<'i> ConfigSource<'i> {
    /// Parses `text`; what is not TOML is noted in `faults`, and the rest read.
    pub fn parse(file: ConfigFile, text: &'i str, faults: &mut Vec<ConfigFault>) -> Self {
        let (root, errors) = DeTable::parse_recoverable(text);
        let line_breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        let line_starts = std::iter::once(0).chain(line_breaks).collect();
        let source = Self { file, root, line_starts };
        faults.extend(errors.iter().map(|error| source.syntax_fault(error)));
        source
    }

    /// The table at the root, to be read.
    pub fn reader<'s>(&'s self, faults: &'s mut Vec<ConfigFault>) -> TableReader<'s, 'i> {
        TableReader::new(self, self.root.get_ref(), String::new(), None, faults)
    }

    /// A fault at `path`, with the line of the nearest key above it that exists.
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

    /// The line of the key at `path`, counted from 1.
    pub fn line_of(&self, path: &str) -> Option<u32> {
        let mut steps = path.split(PATH_MARKS).filter(|step| !step.is_empty());
        let first = steps.next()?;
        let (key, value) = self.root.get_ref().get_key_value(first)?;
        let mut span = key.span();
        let mut value = value.get_ref();
        for step in steps {
            let Some((next_span, next)) = descend(value, step) else { break };
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

fn descend<'v, 'i>(value: &'v DeValue<'i>, step: &str) -> Option<(Range<usize>, &'v DeValue<'i>)> {
    if let Some(table) = value.as_table() {
        let (key, child) = table.get_key_value(step)?;
        return Some((key.span(), child.get_ref()));
    }
    let index: usize = step.parse().ok()?;
    let child = value.as_array()?.get(index)?;
    Some((child.span(), child.get_ref()))
}

/// Reads the keys of one table, noting each fault.
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

    /// The value of `key`; a fault, and the placeholder, when it is absent or bad.
    pub fn required<T: FieldValue>(&mut self, key: &'static str, placeholder: T) -> T {
        if !self.table.contains_key(key) {
            let path = self.child_path(key);
            self.note(path, self.line, FaultKind::MissingKey, "no such key", T::EXPECTED);
        }
        self.optional(key).unwrap_or(placeholder)
    }

    /// The value of `key`, or its default; a fault and the default when it is bad.
    pub fn or_default<T: FieldValue>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// The value of `key` when there is one and it can be read; a fault when it can't.
    pub fn optional<T: FieldValue>(&mut self, key: &'static str) -> Option<T> {
        let value = self.value(key)?;
        let path = self.child_path(key);
        self.read(path, value)
    }

    /// Like [`Self::or_default`], with limits.
    pub fn within<T>(&mut self, key: &'static str, default: T, limits: RangeInclusive<T>) -> T
    where
        T: FieldValue + PartialOrd,
    {
        self.optional_within(key, limits).unwrap_or(default)
    }

    /// Like [`Self::optional`], with limits.
    pub fn optional_within<T>(&mut self, key: &'static str, limits: RangeInclusive<T>) -> Option<T>
    where
        T: FieldValue + PartialOrd,
    {
        let value: T = self.optional(key)?;
        if limits.contains(&value) {
            return Some(value);
        }
        let expected = show_limits(&limits);
        self.reject(key, FaultKind::OutOfRange, value.show(), expected);
        None
    }

    /// Like [`Self::required`], with limits; the placeholder is the least value.
    pub fn required_within<T>(&mut self, key: &'static str, limits: RangeInclusive<T>) -> T
    where
        T: FieldValue + PartialOrd + Copy,
    {
        if !self.table.contains_key(key) {
            let path = self.child_path(key);
            let expected = show_limits(&limits);
            self.note(path, self.line, FaultKind::MissingKey, "no such key", &expected);
        }
        let least = *limits.start();
        self.within(key, least, limits)
    }

    /// The values of the list at `key` that can be read, each with its place in the list.
    pub fn list<T: FieldValue>(&mut self, key: &'static str) -> Vec<(usize, T)> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            let found = ShownValue(value.get_ref()).to_string();
            self.reject(key, FaultKind::WrongType, found, "a list".to_owned());
            return Vec::new();
        };
        let path = self.child_path(key);
        let read = |(index, item): (usize, &'s Spanned<DeValue<'i>>)| {
            Some((index, self.read(format!("{path}[{index}]"), item)?))
        };
        items.iter().enumerate().filter_map(read).collect()
    }

    /// Reads the table at `key`, which counts as empty when absent.
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
            let found = ShownValue(value.get_ref()).to_string();
            self.reject(key, FaultKind::WrongType, found, "a table".to_owned());
        }
        let line = value.and_then(|_| self.source.line_of(&path));
        let table = table.unwrap_or(&empty);
        let mut reader = TableReader::new(self.source, table, path, line, self.faults);
        let outcome = read(&mut reader);
        reader.finish();
        outcome
    }

    /// Reads each table of the list of tables at `key`.
    pub fn tables<R>(
        &mut self,
        key: &'static str,
        mut read: impl FnMut(&mut TableReader<'_, 'i>) -> R,
    ) -> Vec<R> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            let found = ShownValue(value.get_ref()).to_string();
            self.reject(key, FaultKind::WrongType, found, format!("[[{key}]] entries"));
            return Vec::new();
        };
        let mut outcomes = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            let path = format!("{}[{index}]", self.child_path(key));
            let line = Some(self.source.line_at(item.span().start));
            let Some(table) = item.get_ref().as_table() else {
                let found = ShownValue(item.get_ref()).to_string();
                self.note(path, line, FaultKind::WrongType, &found, "a table");
                continue;
            };
            let mut reader = TableReader::new(self.source, table, path, line, self.faults);
            outcomes.push(read(&mut reader));
            reader.finish();
        }
        outcomes
    }

    /// Whether the value at `key` is a string, and so was read.
    pub fn has_text(&self, key: &str) -> bool {
        self.table.get(key).is_some_and(|value| value.get_ref().is_str())
    }

    /// Notes a fault of the value at `key`.
    pub fn reject(&mut self, key: &str, kind: FaultKind, found: String, expected: String) {
        let path = self.child_path(key);
        let line = self.source.line_of(&path).or(self.line);
        self.note(path, line, kind, &found, &expected);
    }

    /// Notes every key that was never asked for.
    pub fn finish(self) {
        let expected = format!("one of {}", self.known.join(", "));
        for (key, _) in self.table.iter() {
            if self.known.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let path = join(&self.path, key.get_ref());
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
                let found = ShownValue(value.get_ref()).to_string();
                self.note(path, line, kind, &found, T::EXPECTED);
                None
            }
        }
    }

    fn child_path(&self, key: &str) -> String {
        join(&self.path, key)
    }

    fn note(
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

fn show_limits<T: FieldValue>(limits: &RangeInclusive<T>) -> String {
    format!("{} to {}", limits.start().show(), limits.end().show())
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
