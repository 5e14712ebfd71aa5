//! As much JSON as the store's calls need.

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
    /// Parses a complete text.
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == text.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Self> {
        if let Self::Table(table) = self { table.get(key) } else { None }
    }

    pub fn list(&self) -> &[Self] {
        if let Self::List(list) = self { list } else { &[] }
    }

    pub fn text(&self) -> Option<&str> {
        if let Self::Text(text) = self { Some(text) } else { None }
    }

    pub fn number(&self) -> Option<f64> {
        if let Self::Number(number) = self { Some(*number) } else { None }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        self.space();
        (*self.text.get(self.at)? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.text.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => Some(Json::Text(self.string()?)),
            b'[' => self.list(),
            b'{' => self.table(),
            _ => self.number(),
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.eat(b'[')?;
        let mut list = Vec::new();
        if self.eat(b']').is_some() {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.eat(b',').is_none() {
                self.eat(b']')?;
                return Some(Json::List(list));
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.eat(b'{')?;
        let mut table = BTreeMap::new();
        if self.eat(b'}').is_some() {
            return Some(Json::Table(table));
        }
        loop {
            self.space();
            let key = self.string()?;
            self.eat(b':')?;
            table.insert(key, self.value()?);
            if self.eat(b',').is_none() {
                self.eat(b'}')?;
                return Some(Json::Table(table));
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.text.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.text.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let mut utf8 = [0; 4];
                            let text = char::from_u32(code)?.encode_utf8(&mut utf8);
                            bytes.extend_from_slice(text.as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = (word >> (18 - 6 * index)) as usize & 63;
            let padded = index > chunk.len();
            text.push(if padded { '=' } else { char::from(ALPHABET[digit]) });
        }
    }
    text
}

/// The bytes of standard base64 text.
pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|letter| *letter == byte) else { continue };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
