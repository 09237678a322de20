//! JSON values: enough of a parser and a writer for the stand-ins.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Value {
        const NULL: Value = Value::Null;
        match self {
            Self::Table(fields) => fields.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        self.get(name).as_text()
    }

    pub fn as_text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn rows(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Self::List(rows) => rows,
            _ => &[],
        }
    }

    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        if let Self::Table(fields) = &mut self {
            fields.insert(name.to_owned(), value.into());
        }
        self
    }

    pub fn without(mut self, name: &str) -> Self {
        if let Self::Table(fields) = &mut self {
            fields.remove(name);
        }
        self
    }
}

pub fn table() -> Value {
    Value::Table(BTreeMap::new())
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Number(number as f64)
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Self {
        Self::Bool(value)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<Vec<Value>> for Value {
    fn from(rows: Vec<Value>) -> Self {
        Self::List(rows)
    }
}

impl fmt::Display for Value {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => write!(out, "null"),
            Self::Bool(value) => write!(out, "{value}"),
            Self::Number(number) => write!(out, "{number}"),
            Self::Text(text) => quote(out, text),
            Self::List(rows) => {
                write!(out, "[")?;
                for (index, row) in rows.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(out, "{comma}{row}")?;
                }
                write!(out, "]")
            }
            Self::Table(fields) => {
                write!(out, "{{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    write!(out, "{}", if index > 0 { "," } else { "" })?;
                    quote(out, name)?;
                    write!(out, ":{value}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn quote(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(out, "\"")?;
    for letter in text.chars() {
        match letter {
            '"' | '\\' => write!(out, "\\{letter}")?,
            letter if (letter as u32) < 0x20 => write!(out, "\\u{:04x}", letter as u32)?,
            letter => write!(out, "{letter}")?,
        }
    }
    write!(out, "\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Value> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Value::Null),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'"' => self.text().map(Value::Text),
            b'[' => {
                self.at += 1;
                let mut rows = Vec::new();
                if self.take(b']') {
                    return Some(Value::List(rows));
                }
                loop {
                    rows.push(self.value()?);
                    if self.take(b']') {
                        return Some(Value::List(rows));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.take(b'}') {
                    return Some(Value::Table(fields));
                }
                loop {
                    self.space();
                    let name = self.text()?;
                    if !self.take(b':') {
                        return None;
                    }
                    fields.insert(name, self.value()?);
                    if self.take(b'}') {
                        return Some(Value::Table(fields));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            _ => {
                let start = self.at;
                let digit = |byte: &u8| b"+-.eE0123456789".contains(byte);
                while self.bytes.get(self.at).is_some_and(digit) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Value::Number)
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let letter = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    let mut buffer = [0; 4];
                    bytes.extend(letter.encode_utf8(&mut buffer).as_bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(DIGITS[(word >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
