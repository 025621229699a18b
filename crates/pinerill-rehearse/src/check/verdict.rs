//! What checks found.

use std::fmt;

use serde::Serialize;

/// Most violations that are printed of one check.
const SHOWN_LIMIT: usize = 5;

/// One broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The request, item or worker.
    pub subject: String,
    /// What is wrong.
    pub detail: String,
}

/// What one check found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Name of the check.
    pub check: &'static str,
    /// How many requests, items or runs it looked at.
    pub checked: u64,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// What all checks of a run found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// One for each check.
    pub findings: Vec<Finding>,
}

impl Finding {
    /// A check that has looked at nothing yet.
    pub fn new(check: &'static str) -> Self {
        Self {
            check,
            checked: 0,
            violations: Vec::new(),
        }
    }

    /// Notes a broken promise.
    pub fn violate(&mut self, subject: impl Into<String>, detail: impl Into<String>) {
        self.violations.push(Violation {
            subject: subject.into(),
            detail: detail.into(),
        });
    }
}

impl Verdict {
    /// A verdict of these findings.
    pub fn new(findings: Vec<Finding>) -> Self {
        Self { findings }
    }

    /// How much was checked.
    pub fn checked(&self) -> u64 {
        self.findings.iter().map(|finding| finding.checked).sum()
    }

    /// How many promises were broken.
    pub fn violations(&self) -> usize {
        let counts = self.findings.iter().map(|one| one.violations.len());
        counts.sum()
    }

    /// Whether every promise was kept.
    pub fn is_clean(&self) -> bool {
        self.violations() == 0
    }

    /// Adds the findings of another verdict.
    pub fn add(&mut self, other: Self) {
        self.findings.extend(other.findings);
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in self.findings.iter().filter(|one| one.checked > 0) {
            let violations = finding.violations.len();
            writeln!(
                formatter,
                "  {:<28} {:>7} checked, {violations} violations",
                finding.check, finding.checked
            )?;
            for violation in finding.violations.iter().take(SHOWN_LIMIT) {
                writeln!(formatter, "    {}: {}", violation.subject, violation.detail)?;
            }
        }
        Ok(())
    }
}
