//! Reconstructs the history of one request from the log lines of several processes.
//! `pinerill explain` uses it.

use std::fmt;

use super::Line;

/// Events that report a change of a process's state: its settings, route table, directory,
/// role and connection to control.
const STATE_EVENTS: [&str; 9] = [
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
/// Events that report the end of a request, call, job or item.
const FINAL: [&str; 10] = [
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

/// A log line together with the process that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourcedLine {
    /// Name of the process, from the log file's name or from a log collector's prefix.
    pub source: String,
    /// The parsed line.
    pub line: Line,
}

impl SourcedLine {
    /// Parses one line of `file`, which names the process. If a log collector has prepended
    /// words to the line, the last of them names the process instead. Returns `None` if the
    /// text is not a line of this log or has more than three words in front.
    pub fn parse(file: &str, text: &str) -> Option<Self> {
        if let Some(line) = Line::parse(text) {
            return Some(SourcedLine {
                source: file.to_owned(),
                line,
            });
        }
        let words: Vec<&str> = text.split_whitespace().take(4).collect();
        let at = words.iter().position(|word| is_timestamp(word))?;
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
            .flat_map(|(_, value)| value.split(|one: char| !is_id_char(one)))
            .any(|word| word == id)
    }

    fn is_state_event(&self) -> bool {
        self.line
            .event()
            .is_some_and(|event| STATE_EVENTS.contains(&event))
    }
}

fn is_timestamp(word: &str) -> bool {
    word.len() > 18 && word.contains('T') && word.starts_with(|one: char| one.is_ascii_digit())
}

fn is_id_char(character: char) -> bool {
    character.is_alphanumeric() || "-_/".contains(character)
}

/// History and outcome of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// First the latest state events of the involved processes before the request's first
    /// line; then, in order of time, the request's own lines and the state events between
    /// its first and its last line.
    pub lines: Vec<SourcedLine>,
    /// One line that states the outcome and the reason for it.
    pub verdict: String,
}

impl Explanation {
    /// Collects the lines about the request, job, item or worker `id`. Returns `None` if no
    /// line mentions it.
    pub fn for_id(id: &str, mut all: Vec<SourcedLine>) -> Option<Self> {
        all.sort_by(|left, right| left.line.time.cmp(&right.line.time));
        let own: Vec<&SourcedLine> = all.iter().filter(|one| one.mentions(id)).collect();
        let (first, last) = (own.first()?, own.last()?);
        let sources: Vec<&str> = own.iter().map(|one| one.source.as_str()).collect();
        let before = all
            .iter()
            .take_while(|one| one.line.time < first.line.time)
            .filter(|one| one.is_state_event() && sources.contains(&one.source.as_str()));
        let mut lines = latest_of_each_kind(before);
        let meanwhile = all.iter().filter(|one| {
            let within = one.line.time >= first.line.time && one.line.time <= last.line.time;
            within
                && (one.mentions(id)
                    || (one.is_state_event() && sources.contains(&one.source.as_str())))
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
        .find(|one| one.line.event().is_some_and(|event| FINAL.contains(&event)));
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
