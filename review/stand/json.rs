//! A small JSON reader and writer, so that the stand-ins need no library.

use std::fmt;

/// A JSON value. Objects keep the order of their fields.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a whole document.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut reader = Reader {
            rest: text.trim_end(),
        };
        let value = reader.value()?;
        reader.rest.is_empty().then_some(value)
    }

    /// The field `name`; [`Json::Null`] without it.
    pub fn get(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        let Json::Object(fields) = self else {
            return NULL;
        };
        let field = fields.iter().find(|(key, _)| key == name);
        field.map_or(NULL, |(_, value)| value)
    }

    /// The value as an unsigned number; 0 if it is none.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    /// The value as a text; empty if it is none.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// The value as a list; empty if it is none.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

/// An object of the given fields.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    let fields = fields.into_iter();
    Json::Object(fields.map(|(key, value)| (key.to_owned(), value)).collect())
}

/// A text.
pub fn text(text: impl Into<String>) -> Json {
    Json::Text(text.into())
}

/// An unsigned number.
pub fn number(number: u64) -> Json {
    Json::Number(number as f64)
}

struct Reader<'a> {
    rest: &'a str,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        self.rest = self.rest.trim_start();
    }

    fn take(&mut self, token: &str) -> Option<()> {
        self.rest = self.rest.strip_prefix(token)?;
        Some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.rest.chars().next()? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.string().map(Json::Text),
            't' => self.take("true").map(|()| Json::Bool(true)),
            'f' => self.take("false").map(|()| Json::Bool(false)),
            'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let part = |sign: char| sign.is_ascii_digit() || "+-.eE".contains(sign);
        let end = self.rest.find(|sign| !part(sign));
        let (number, rest) = self.rest.split_at(end.unwrap_or(self.rest.len()));
        self.rest = rest;
        number.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut text = String::new();
        loop {
            let end = self.rest.find(['"', '\\'])?;
            text.push_str(&self.rest[..end]);
            let quote = self.rest.as_bytes()[end] == b'"';
            self.rest = &self.rest[end + 1..];
            if quote {
                return Some(text);
            }
            let sign = self.rest.chars().next()?;
            self.rest = &self.rest[sign.len_utf8()..];
            match sign {
                'n' => text.push('\n'),
                'r' => text.push('\r'),
                't' => text.push('\t'),
                'b' => text.push('\u{8}'),
                'f' => text.push('\u{c}'),
                'u' => {
                    let code = u32::from_str_radix(self.rest.get(..4)?, 16).ok()?;
                    self.rest = &self.rest[4..];
                    text.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                }
                sign => text.push(sign),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut list = Vec::new();
        self.skip_space();
        if self.take("]").is_some() {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            self.skip_space();
            if self.take("]").is_some() {
                return Some(Json::List(list));
            }
            self.take(",")?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = Vec::new();
        self.skip_space();
        if self.take("}").is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let key = self.string()?;
            self.skip_space();
            self.take(":")?;
            fields.push((key, self.value()?));
            self.skip_space();
            if self.take("}").is_some() {
                return Some(Json::Object(fields));
            }
            self.take(",")?;
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(value) => write!(f, "{value}"),
            Json::Text(text) => write_text(f, text),
            Json::List(list) => {
                f.write_str("[")?;
                for (at, value) in list.iter().enumerate() {
                    let comma = if at == 0 { "" } else { "," };
                    write!(f, "{comma}{value}")?;
                }
                f.write_str("]")
            }
            Json::Object(fields) => {
                f.write_str("{")?;
                for (at, (key, value)) in fields.iter().enumerate() {
                    f.write_str(if at == 0 { "" } else { "," })?;
                    write_text(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for sign in text.chars() {
        match sign {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            sign if (sign as u32) < 0x20 => write!(f, "\\u{:04x}", sign as u32)?,
            sign => write!(f, "{sign}")?,
        }
    }
    f.write_str("\"")
}
