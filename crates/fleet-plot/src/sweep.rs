//! Reads the table of a sweep from its journal entry.
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu};
use std::path::{Path, PathBuf};

/// Why a journal entry gives no table.
#[derive(Debug, Snafu)]
pub enum SweepError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is no journal entry.
    #[snafu(display("{}: not a journal entry: {source}", path.display()))]
    NoEntry {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The entry is of another command than `sweep`, or its table has no sizes.
    #[snafu(display("{}: holds no table of a sweep", path.display()))]
    NoTable {
        /// The file.
        path: PathBuf,
    },
}

/// One row of the table: a measure of one role, by size.
#[derive(Debug, Clone, PartialEq)]
pub struct Measure {
    /// The role, or both of a machine joined by `+`.
    pub role: String,
    /// What was measured, with its unit.
    pub what: String,
    /// The busiest machine's value at each size.
    pub busiest: Vec<f64>,
}

/// A sweep's table.
#[derive(Debug, Clone, PartialEq)]
pub struct Sweep {
    /// The journal's name for the entry.
    pub id: String,
    /// Own machines at each size, rising.
    pub machines: Vec<f64>,
    /// All rows that belong to a role.
    pub measures: Vec<Measure>,
}

#[derive(Deserialize)]
struct Entry {
    id: String,
    digest: Option<String>,
}

/// Reads the entry in a file.
pub fn read_sweep(path: &Path) -> Result<Sweep, SweepError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let entry: Entry = serde_json::from_str(&text).context(NoEntrySnafu { path })?;
    let table = entry.digest.as_deref().and_then(|digest| table_of(&entry.id, digest));
    table.context(NoTableSnafu { path })
}

fn table_of(id: &str, digest: &str) -> Option<Sweep> {
    let mut lines = digest.lines().skip_while(|line| !line.starts_with("middle / busiest"));
    lines.next()?;
    let machines: Vec<f64> =
        lines.next()?.split_whitespace().map_while(|size| size.parse().ok()).collect();
    let measures: Vec<Measure> =
        lines.filter_map(|line| measure_of(line, machines.len())).collect();
    let found = !machines.is_empty() && !measures.is_empty();
    found.then(|| Sweep { id: id.to_string(), machines, measures })
}

/// A row reads `role: what   middle / busiest   middle / busiest   ...`, with columns two blanks or more apart.
fn measure_of(line: &str, sizes: usize) -> Option<Measure> {
    let (role, rest) = line.split_once(": ")?;
    let (what, values) = rest.split_once("  ")?;
    let busiest: Vec<f64> = values
        .split("  ")
        .filter_map(|column| column.split_once(" / "))
        .map_while(|(_, busiest)| busiest.trim().parse().ok())
        .collect();
    let complete = busiest.len() == sizes;
    complete.then(|| Measure { role: role.into(), what: what.into(), busiest })
}
