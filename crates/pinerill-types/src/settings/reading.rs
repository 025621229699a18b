//! Reads settings to the end: a field of a wrong name or type is noted, the
//! example's takes its place, and the rest is read on. So all that is wrong
//! is known at once.

use figment::error::Kind;
use figment::providers::{Format, Toml};
use figment::value::{Dict, Num, Value};
use figment::{Error, Figment};

use super::{Problem, Settings, EXAMPLE};

/// Problems after which the rest is not read.
const PROBLEM_LIMIT: usize = 1_000;
/// What stands for a field that is not there.
const NOTHING: &str = "nothing";

/// Settings as far as they could be read.
pub(super) struct Reading {
    /// The settings, with values of the example where there are problems.
    pub settings: Settings,
    /// What could not be read.
    pub problems: Vec<Problem>,
}

impl Reading {
    /// Whether `problem`, found by a check, is one of the settings as given:
    /// neither of a field that was replaced nor of a comparison with one.
    pub fn is_of_given_values(&self, problem: &Problem) -> bool {
        let replaced = self.problems.iter().map(|one| one.field.as_str());
        !replaced.into_iter().any(|field| {
            is_inside(&problem.field, field)
                || is_inside(field, &problem.field)
                || problem.expected.contains(field_of_list(field))
        })
    }
}

/// Whether `field` is `section` or stands in it.
fn is_inside(field: &str, section: &str) -> bool {
    field
        .strip_prefix(section)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

/// The field that holds the list, for an element of one.
fn field_of_list(field: &str) -> &str {
    match field.rsplit_once('.') {
        Some((list, index)) if index.parse::<usize>().is_ok() => list,
        _ => field,
    }
}

/// Reads merged values as settings.
///
/// # Errors
/// The reader's message, when it names no field.
pub(super) fn read(figment: &Figment) -> Result<Reading, String> {
    let example = Figment::from(Toml::string(EXAMPLE));
    let example = example.find_value("").map_err(join_errors)?;
    let mut value = figment.find_value("").map_err(join_errors)?;
    let mut problems = Vec::new();
    loop {
        let error = match value.deserialize::<Settings>() {
            Ok(settings) => return Ok(Reading { settings, problems }),
            Err(error) => error,
        };
        let path = path_of(&error);
        if path.is_empty() || problems.len() == PROBLEM_LIMIT {
            return Err(join_errors(error));
        }
        let right = find(&example, &path);
        problems.push(problem(&error, &path, &value, right));
        replace(&mut value, &path, right.cloned());
    }
}

fn join_errors(errors: Error) -> String {
    let messages: Vec<String> = errors.into_iter().map(|one| one.to_string()).collect();
    messages.join("; ")
}

/// The field's path. For a field too many or too few, the reader may name
/// just its section.
fn path_of(error: &Error) -> Vec<String> {
    let mut path = error.path.clone();
    let name = match &error.kind {
        Kind::UnknownField(name, _) => name.as_str(),
        Kind::MissingField(name) => name,
        _ => return path,
    };
    if path.last().map(String::as_str) != Some(name) {
        path.push(name.to_owned());
    }
    path
}

fn problem(error: &Error, path: &[String], value: &Value, right: Option<&Value>) -> Problem {
    let found = find(value, path).map_or(NOTHING.to_owned(), shown);
    let mut expected = expectation(&error.kind);
    match right {
        Some(Value::Dict(..)) | None => {}
        Some(right) => expected.push_str(&format!(", such as {}", shown(right))),
    }
    Problem::new(path.join("."), found, expected)
}

/// What would be right, in a user's words.
fn expectation(kind: &Kind) -> String {
    match kind {
        Kind::UnknownField(_, known) => format!("no such field; there are {}", known.join(", ")),
        Kind::MissingField(_) => "it must be given".to_owned(),
        Kind::InvalidType(_, expected) | Kind::InvalidValue(_, expected) => type_name(expected),
        other => type_name(&other.to_string()),
    }
}

fn type_name(expected: &str) -> String {
    match expected {
        "u32" => "a whole number from 0 to 4294967295".to_owned(),
        "u64" => "a whole number from 0".to_owned(),
        "a string" | "path string" => "text".to_owned(),
        "a sequence" => "a list".to_owned(),
        other if other.contains("socket address") => "IP:PORT".to_owned(),
        other if other.starts_with("struct ") => "a section".to_owned(),
        other => other.to_owned(),
    }
}

fn shown(value: &Value) -> String {
    match value {
        Value::String(_, text) => text.clone(),
        Value::Char(_, character) => character.to_string(),
        Value::Bool(_, truth) => truth.to_string(),
        Value::Num(_, number) => shown_number(number),
        Value::Empty(..) => NOTHING.to_owned(),
        Value::Dict(..) => "a section".to_owned(),
        Value::Array(_, values) => {
            let values: Vec<String> = values.iter().map(shown).collect();
            format!("[{}]", values.join(", "))
        }
    }
}

fn shown_number(number: &Num) -> String {
    let whole = number.to_u128().map(|number| number.to_string());
    let signed = || number.to_i128().map(|number| number.to_string());
    let broken = || number.to_f64().map(|number| number.to_string());
    whole.or_else(signed).or_else(broken).unwrap_or_default()
}

fn find<'a>(value: &'a Value, path: &[String]) -> Option<&'a Value> {
    let Some((name, rest)) = path.split_first() else {
        return Some(value);
    };
    let inner = match value {
        Value::Dict(_, fields) => fields.get(name),
        // The example's list may be shorter; any of its elements will do.
        Value::Array(_, values) => {
            let index = name.parse::<usize>().ok()?;
            values.get(index).or(values.first())
        }
        _ => None,
    };
    find(inner?, rest)
}

/// Puts `right` at `path`; without one, what is there goes.
fn replace(value: &mut Value, path: &[String], right: Option<Value>) {
    let Some((name, rest)) = path.split_first() else {
        return;
    };
    if let Value::Array(_, values) = value {
        let index = name.parse::<usize>().ok();
        if let Some(element) = index.and_then(|index| values.get_mut(index)) {
            put(element, rest, right);
        }
        return;
    }
    if !matches!(value, Value::Dict(..)) {
        *value = Value::from(Dict::new());
    }
    let Value::Dict(_, fields) = value else {
        return;
    };
    match right {
        None if rest.is_empty() => drop(fields.remove(name)),
        right => put(
            fields.entry(name.clone()).or_insert(Value::from(0)),
            rest,
            right,
        ),
    }
}

fn put(value: &mut Value, rest: &[String], right: Option<Value>) {
    match (rest, right) {
        ([], Some(right)) => *value = right,
        ([], None) => {}
        (rest, right) => replace(value, rest, right),
    }
}
