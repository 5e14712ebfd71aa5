//! A small JSON reader, for the calls that the tier makes to the store.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

/// Parses a document; `None` if it is malformed.
pub fn parse(bytes: &[u8]) -> Option<Json> {
    let text: Vec<char> = std::str::from_utf8(bytes).ok()?.chars().collect();
    let mut reader = Reader { text, at: 0 };
    let value = reader.value()?;
    reader.space();
    (reader.at == reader.text.len()).then_some(value)
}

struct Reader {
    text: Vec<char>,
    at: usize,
}

impl Reader {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(|char| char.is_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, char: char) -> Option<()> {
        self.space();
        (self.text.get(self.at) == Some(&char)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        for char in word.chars() {
            (self.text.get(self.at) == Some(&char)).then(|| self.at += 1)?;
        }
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.text.get(self.at)? {
            'n' => self.word("null", Json::Null),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            '"' => self.string().map(Json::Text),
            '[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(',').is_none() {
                        self.take(']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            '{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                if self.take('}').is_some() {
                    return Some(Json::Table(table));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(':')?;
                    table.insert(name, self.value()?);
                    if self.take(',').is_none() {
                        self.take('}')?;
                        return Some(Json::Table(table));
                    }
                }
            }
            _ => {
                let from = self.at;
                while self.text.get(self.at).is_some_and(|char| "+-.eE0123456789".contains(*char)) {
                    self.at += 1;
                }
                let text: String = self.text[from..self.at].iter().collect();
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        (self.text.get(self.at) == Some(&'"')).then(|| self.at += 1)?;
        let mut text = String::new();
        loop {
            let char = *self.text.get(self.at)?;
            self.at += 1;
            match char {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let hex: String = self.text.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}
