//! One line: `TIME LEVEL TARGET KEY=VALUE…`, and back.

use std::fmt::Write;

use log::kv::{Error, Key, Value, VisitSource};
use log::Record;

/// Name of the field that tells a line's kind.
const EVENT: &str = "event";
/// Name of the field for a message that is no field.
const MESSAGE: &str = "message";

/// A line that was read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// When it was written, as text that sorts by time.
    pub time: String,
    /// Its level.
    pub level: String,
    /// The part of the program that wrote it.
    pub target: String,
    /// Its fields in order.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Reads a line; none if it is not one of this log's.
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

    /// A field's value.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Its kind.
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

/// A value, quoted or not, and what follows it.
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

/// The kind of a record: its event, or its target.
pub(super) fn kind(record: &Record<'_>) -> String {
    let event = record.key_values().get(Key::from_str(EVENT));
    event.map_or_else(|| record.target().to_owned(), |value| value.to_string())
}

/// Writes a record as one line, without its end.
pub(super) fn format(time: &dyn std::fmt::Display, record: &Record<'_>) -> String {
    let mut text = format!("{time} {} {}", record.level(), record.target());
    let mut fields = FieldWriter { text: &mut text };
    // Writing to a text can't fail.
    let _ = record.key_values().visit(&mut fields);
    let message = record.args().to_string();
    if !message.is_empty() {
        append(&mut text, MESSAGE, &message);
    }
    text
}

/// Appends a field.
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

struct FieldWriter<'a> {
    text: &'a mut String,
}

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        append(self.text, key.as_str(), &value.to_string());
        Ok(())
    }
}
