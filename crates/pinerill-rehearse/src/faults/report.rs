//! Rows of the report.

use std::fmt;
use std::path::PathBuf;

use pinerill_types::job::ItemState;
use serde::Serialize;

use crate::check::{History, Verdict};
use crate::load::record::EndCounts;

/// How requests and items ended, so that a clean verdict can be told from one
/// over nothing but refusals.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Outcomes {
    /// Online requests.
    pub online: EndCounts,
    /// Items completed.
    pub items_completed: u64,
    /// Items cancelled.
    pub items_cancelled: u64,
    /// Items that nobody can tell of.
    pub items_indeterminate: u64,
}

impl Outcomes {
    /// Counts the ends in a history.
    pub fn of(history: &History) -> Self {
        let mut outcomes = Self {
            online: EndCounts::of(history.online.iter(), u64::MAX),
            ..Self::default()
        };
        let lines = history.jobs.iter().flat_map(|job| job.last_reading());
        for line in lines {
            match line.state {
                ItemState::Completed => outcomes.items_completed += 1,
                ItemState::Cancelled => outcomes.items_cancelled += 1,
                ItemState::Indeterminate => outcomes.items_indeterminate += 1,
                ItemState::Pending | ItemState::Leased | ItemState::Failed => {}
            }
        }
        outcomes
    }
}

impl fmt::Display for Outcomes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let online = &self.online;
        write!(
            formatter,
            "online {} completed, {} refused, {} failed; items {} completed, {} cancelled, {} indeterminate",
            online.completed,
            online.refused,
            online.failed + online.wrong,
            self.items_completed,
            self.items_cancelled,
            self.items_indeterminate
        )
    }
}

/// What a scenario that was played to its end came to.
#[derive(Clone, Debug)]
pub struct Played {
    /// Requests, items and operators' commands.
    pub operations: u64,
    /// How they ended.
    pub outcomes: Outcomes,
    /// What was checked and found.
    pub verdict: Verdict,
}

/// What came of one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Its name.
    pub scenario: &'static str,
    /// What was done.
    pub what: &'static str,
    /// The deliberate defect that it must find.
    pub defect: Option<&'static str>,
    /// Requests, items and operators' commands.
    pub operations: u64,
    /// How requests and items ended.
    pub outcomes: Outcomes,
    /// What was checked and found.
    pub verdict: Verdict,
    /// Why it could not be played to its end.
    pub error: Option<String>,
    /// Logs and data, when it failed.
    pub folder: Option<PathBuf>,
}

/// All rows of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// One for each scenario.
    pub rows: Vec<Row>,
}

impl Row {
    /// A scenario that has not been played.
    pub fn new(scenario: &'static str, what: &'static str) -> Self {
        Self {
            scenario,
            what,
            defect: None,
            operations: 0,
            outcomes: Outcomes::default(),
            verdict: Verdict::default(),
            error: None,
            folder: None,
        }
    }

    /// Takes in what came of it.
    pub fn take(&mut self, played: Played) {
        self.operations = played.operations;
        self.outcomes = played.outcomes;
        self.verdict = played.verdict;
    }

    /// Whether a promise was broken or it was not played to its end; with a
    /// deliberate defect, whether that was not found.
    pub fn is_failed(&self) -> bool {
        let found = self.error.is_some() || !self.verdict.is_clean();
        found != self.defect.is_some()
    }

    fn result(&self) -> String {
        let result = match &self.error {
            Some(_) => "not played to its end".to_owned(),
            None => format!("{} violations", self.verdict.violations()),
        };
        match (self.defect, self.is_failed()) {
            (None, _) => result,
            (Some(defect), true) => format!("{defect} MISSED"),
            (Some(defect), false) => format!("{defect} found: {result}"),
        }
    }
}

impl Report {
    /// A report without rows.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            rows: Vec::new(),
        }
    }

    /// Names of the scenarios that failed.
    pub fn failed(&self) -> Vec<&'static str> {
        let failed = self.rows.iter().filter(|row| row.is_failed());
        failed.map(|row| row.scenario).collect()
    }
}

impl fmt::Display for Row {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.verdict)?;
        match &self.error {
            Some(error) => writeln!(formatter, "  {error}")?,
            None => writeln!(formatter, "  {}", self.outcomes)?,
        }
        if let Some(folder) = &self.folder {
            writeln!(
                formatter,
                "  logs and data are kept in {}",
                folder.display()
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<28} {:>10} {:>9}  result",
            "scenario", "operations", "checked"
        )?;
        for row in &self.rows {
            writeln!(
                formatter,
                "{:<28} {:>10} {:>9}  {}",
                row.scenario,
                row.operations,
                row.verdict.checked(),
                row.result()
            )?;
        }
        Ok(())
    }
}
