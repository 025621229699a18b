//! Rows of the report.

use std::fmt;
use std::path::PathBuf;

use serde::Serialize;

use crate::check::Verdict;

/// What came of one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Its name.
    pub scenario: &'static str,
    /// What was done.
    pub what: &'static str,
    /// Requests, items and operators' commands.
    pub operations: u64,
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
            operations: 0,
            verdict: Verdict::default(),
            error: None,
            folder: None,
        }
    }

    /// Takes in what came of it.
    pub fn take(&mut self, operations: u64, verdict: Verdict) {
        self.operations = operations;
        self.verdict = verdict;
    }

    /// Whether a promise was broken or it was not played to its end.
    pub fn is_failed(&self) -> bool {
        self.error.is_some() || !self.verdict.is_clean()
    }

    fn result(&self) -> String {
        match &self.error {
            Some(_) => "not played to its end".to_owned(),
            None => format!("{} violations", self.verdict.violations()),
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
        if let Some(error) = &self.error {
            writeln!(formatter, "  {error}")?;
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
