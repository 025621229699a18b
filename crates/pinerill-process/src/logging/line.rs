//! Formats log lines as `TIME LEVEL TARGET KEY=VALUE…` and parses them.

use std::fmt::Write;

use log::kv::{Error, Key, Value, VisitSource};
use log::Record;

/// Key of the field that holds a line's kind.
const EVENT: &str = "event";
/// Key under which a record's free-text message is written.
const MESSAGE: &str = "message";

/// A parsed log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Time of writing in RFC 3339 format, so that lines sort by time as text.
    pub time: String,
    /// Log level, for instance `INFO`.
    pub level: String,
    /// Target of the log record: by default the path of the module that wrote it.
    pub target: String,
    /// Keys and unescaped values, in the order of the line.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line. Returns `None` if the text is not in this log's format.
    pub fn parse(text: &str) -> Option<Line> {
        let mut head = text.trim_end().splitn(4, ' ');
        let (time, level, target) = (head.next()?, head.next()?, head.next()?);
        if !time.contains('T') || level.parse::<log::Level>().is_err() {
            return None;
        }
        Some(Line {
            time: time.to_owned(),
            level: level.to_owned(),
            target: target.to_owned(),
            fields: fields(head.next().unwrap_or_default()),
        })
    }

    /// Returns the value of the first field with this key; `None` if there is none.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the line's kind: the value of its field `event`, if it has one.
    pub fn event(&self) -> Option<&str> {
        self.field(EVENT)
    }
}

fn fields(mut text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    while let Some((key, rest)) = text.split_once('=') {
        let (value, after) = value(rest);
        fields.push((key.trim().to_owned(), value));
        text = after;
    }
    fields
}

/// Splits a quoted or unquoted value from the start of the text. Returns the unescaped
/// value and the rest.
fn value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut escaped = false;
    for (at, character) in quoted.char_indices() {
        match character {
            _ if escaped => {
                value.push(if character == 'n' { '\n' } else { character });
                escaped = false;
            }
            '\\' => escaped = true,
            '"' => return (value, &quoted[at + 1..]),
            _ => value.push(character),
        }
    }
    (value, "")
}

/// Returns the kind of a record: its field `event`, or its target if it has none.
pub(super) fn kind(record: &Record<'_>) -> String {
    let event = record.key_values().get(Key::from_str(EVENT));
    event.map_or_else(|| record.target().to_owned(), |value| value.to_string())
}

/// Formats a record as one line without a line break.
pub(super) fn format(time: &dyn std::fmt::Display, record: &Record<'_>) -> String {
    let mut text = format!("{time} {} {}", record.level(), record.target());
    let mut fields = FieldWriter { text: &mut text };
    // Writing to a `String` can't fail.
    let _ = record.key_values().visit(&mut fields);
    let message = record.args().to_string();
    if !message.is_empty() {
        append(&mut text, MESSAGE, &message);
    }
    text
}

/// Appends a field; quotes and escapes the value where needed.
pub(super) fn append(text: &mut String, key: &str, value: &str) {
    let plain = |character: char| !character.is_whitespace() && !"\"=\\".contains(character);
    if !value.is_empty() && value.chars().all(plain) {
        let _ = write!(text, " {key}={value}");
        return;
    }
    let escaped = value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n");
    let _ = write!(text, " {key}=\"{escaped}\"");
}

/// Appends each key-value pair of a record to the text of a line.
struct FieldWriter<'a> {
    text: &'a mut String,
}

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        append(self.text, key.as_str(), &value.to_string());
        Ok(())
    }
}
