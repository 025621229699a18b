//! What became of one request, from the lines of several processes.

use std::fmt;

use super::Line;

/// Kinds of lines that tell what a process believes.
const BELIEFS: [&str; 9] = [
    "started",
    "stopping",
    "settings_reloaded",
    "table_in_force",
    "table_kept",
    "directory_taken",
    "control_reachable",
    "role_changed",
    "membership_step",
];
/// Kinds of lines that end a request, the last word on it.
const ENDS: [&str; 10] = [
    "request_refused",
    "call_answered",
    "call_refused",
    "call_cut",
    "call_left",
    "job_submitted",
    "job_refused",
    "job_ended",
    "item_ended",
    "item_stopped",
];

/// A line with the process that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourcedLine {
    /// The process.
    pub source: String,
    /// Its line.
    pub line: Line,
}

impl SourcedLine {
    /// Reads a line of a file; the file names the process. A collector may have
    /// put words in front; the last of them then names it.
    pub fn parse(file: &str, text: &str) -> Option<Self> {
        if let Some(line) = Line::parse(text) {
            return Some(SourcedLine {
                source: file.to_owned(),
                line,
            });
        }
        let words: Vec<&str> = text.split_whitespace().take(4).collect();
        let at = words.iter().position(|word| is_time(word))?;
        let source = words.get(at.checked_sub(1)?)?;
        let start = text.find(words[at])?;
        Some(SourcedLine {
            source: (*source).to_owned(),
            line: Line::parse(&text[start..])?,
        })
    }

    fn mentions(&self, id: &str) -> bool {
        let fields = self.line.fields.iter();
        fields
            .flat_map(|(_, value)| value.split(|one: char| !is_name(one)))
            .any(|word| word == id)
    }

    fn is_belief(&self) -> bool {
        self.line
            .event()
            .is_some_and(|event| BELIEFS.contains(&event))
    }
}

fn is_time(word: &str) -> bool {
    word.len() > 18 && word.contains('T') && word.starts_with(|one: char| one.is_ascii_digit())
}

fn is_name(character: char) -> bool {
    character.is_alphanumeric() || "-_/".contains(character)
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// Beliefs in force as the request arrived, then its own lines and changes
    /// of belief meanwhile, in order of time.
    pub lines: Vec<SourcedLine>,
    /// What decided its outcome.
    pub verdict: String,
}

impl Explanation {
    /// Puts together what the lines tell of the request, job or item `id`; none
    /// if nothing mentions it.
    pub fn for_id(id: &str, mut all: Vec<SourcedLine>) -> Option<Self> {
        all.sort_by(|left, right| left.line.time.cmp(&right.line.time));
        let own: Vec<&SourcedLine> = all.iter().filter(|one| one.mentions(id)).collect();
        let (first, last) = (own.first()?, own.last()?);
        let sources: Vec<&str> = own.iter().map(|one| one.source.as_str()).collect();
        let before = all
            .iter()
            .take_while(|one| one.line.time < first.line.time)
            .filter(|one| one.is_belief() && sources.contains(&one.source.as_str()));
        let mut lines = latest_of_each_kind(before);
        let meanwhile = all.iter().filter(|one| {
            let within = one.line.time >= first.line.time && one.line.time <= last.line.time;
            within
                && (one.mentions(id) || (one.is_belief() && sources.contains(&one.source.as_str())))
        });
        lines.extend(meanwhile.cloned());
        Some(Explanation {
            lines,
            verdict: verdict(id, &own),
        })
    }
}

fn latest_of_each_kind<'a>(lines: impl Iterator<Item = &'a SourcedLine>) -> Vec<SourcedLine> {
    let mut latest: Vec<SourcedLine> = Vec::new();
    for line in lines {
        latest.retain(|one| one.source != line.source || one.line.event() != line.line.event());
        latest.push(line.clone());
    }
    latest
}

fn verdict(id: &str, own: &[&SourcedLine]) -> String {
    let ends = own.iter().rev();
    let end = ends
        .clone()
        .find(|one| one.line.event().is_some_and(|event| ENDS.contains(&event)));
    let Some(end) = end else {
        return format!("{id}: no line tells its end");
    };
    let line = &end.line;
    let event = line.event().unwrap_or_default();
    let detail = ["reason", "outcome", "attempts", "accepted"]
        .iter()
        .filter_map(|name| Some(format!("{name} {}", line.field(name)?)))
        .collect::<Vec<_>>()
        .join("; ");
    format!("{id}: {event} at {}; {detail}", end.source)
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for SourcedLine { source, line } in &self.lines {
            write!(formatter, "{} {source}", line.time)?;
            for (name, value) in &line.fields {
                if !value.is_empty() {
                    write!(formatter, " {name}={value}")?;
                }
            }
            writeln!(formatter)?;
        }
        writeln!(formatter, "\n{}", self.verdict)
    }
}
