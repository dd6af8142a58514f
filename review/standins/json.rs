//! A small JSON reader for the transactions that nodes send to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        match self {
            Self::Object(fields) => fields.get(key).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

/// Parses a document; `None` if it is malformed.
pub fn parse(text: &str) -> Option<Value> {
    let mut reader = Reader {
        chars: text.chars().collect(),
        position: 0,
    };
    reader.value()
}

/// Quotes a text.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader {
    chars: Vec<char>,
    position: usize,
}

impl Reader {
    fn peek(&mut self) -> Option<char> {
        while self.chars.get(self.position)?.is_whitespace() {
            self.position += 1;
        }
        self.chars.get(self.position).copied()
    }

    fn take(&mut self, expected: char) -> Option<()> {
        (self.peek()? == expected).then(|| self.position += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let end = self.position + word.len();
        let found: String = self.chars.get(self.position..end)?.iter().collect();
        self.position = end;
        (found == word).then_some(value)
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.text().map(Value::Text),
            't' => self.word("true", Value::Bool(true)),
            'f' => self.word("false", Value::Bool(false)),
            'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.take('{')?;
        let mut fields = BTreeMap::new();
        while self.peek()? != '}' {
            let key = self.text()?;
            self.take(':')?;
            fields.insert(key, self.value()?);
            if self.peek()? == ',' {
                self.position += 1;
            }
        }
        self.take('}')?;
        Some(Value::Object(fields))
    }

    fn list(&mut self) -> Option<Value> {
        self.take('[')?;
        let mut items = Vec::new();
        while self.peek()? != ']' {
            items.push(self.value()?);
            if self.peek()? == ',' {
                self.position += 1;
            }
        }
        self.take(']')?;
        Some(Value::List(items))
    }

    fn text(&mut self) -> Option<String> {
        self.take('"')?;
        let mut out = String::new();
        loop {
            let c = *self.chars.get(self.position)?;
            self.position += 1;
            match c {
                '"' => return Some(out),
                '\\' => {
                    let escaped = *self.chars.get(self.position)?;
                    self.position += 1;
                    out.push(match escaped {
                        'n' => '\n',
                        't' => '\t',
                        'r' => '\r',
                        'b' => '\u{8}',
                        'f' => '\u{c}',
                        'u' => {
                            let end = self.position + 4;
                            let hex = self.chars.get(self.position..end)?.iter();
                            let code = u32::from_str_radix(&hex.collect::<String>(), 16).ok()?;
                            self.position = end;
                            char::from_u32(code).unwrap_or('\u{fffd}')
                        }
                        other => other,
                    });
                }
                c => out.push(c),
            }
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.position;
        let is_part = |c: &char| c.is_ascii_digit() || "+-.eE".contains(*c);
        while self.chars.get(self.position).is_some_and(is_part) {
            self.position += 1;
        }
        let text: String = self.chars[start..self.position].iter().collect();
        text.parse().ok().map(Value::Number)
    }
}
