//! Compares a sheet with the configuration in force.

use std::collections::BTreeMap;

use damaskhatch_policy::sheet::Row;
use serde::{Deserialize, Serialize};

/// A row that differs between the configuration in force and a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// `added`, `removed` or `changed`.
    pub change: String,
    /// The row's identity, such as `team audit`.
    pub row: String,
    /// The row in force, as JSON; `None` if it is added.
    pub before: Option<String>,
    /// The row of the sheet, as JSON; `None` if it is removed.
    pub after: Option<String>,
}

/// The teams in force that a sheet no longer contains.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Dropped {
    /// The number of teams dropped.
    pub count: usize,
    /// The number of teams in force.
    pub total: usize,
    /// `count` as a fraction of `total`, from 0 to 1; 0 if no team is in force.
    pub fraction: f64,
}

/// Lists the rows that differ between the configuration in force and a sheet.
///
/// Removed and changed rows come first, then added ones, each by identity.
pub fn changes(current: &[Row], planned: &[Row]) -> Vec<Change> {
    let before = by_identity(current);
    let after = by_identity(planned);
    let mut changes = Vec::new();
    for (row, old) in &before {
        match after.get(row) {
            None => changes.push(change("removed", row, Some(old), None)),
            Some(new) if new != old => {
                changes.push(change("changed", row, Some(old), Some(new)));
            }
            Some(_) => {}
        }
    }
    let added = after.iter().filter(|(row, _)| !before.contains_key(*row));
    changes.extend(added.map(|(row, new)| change("added", row, None, Some(new))));
    changes
}

/// Counts the teams that are in `current` but not in `planned`.
pub fn dropped_teams(current: &[Row], planned: &[Row]) -> Dropped {
    let is_team = |row: &&Row| matches!(row, Row::Team { .. });
    let kept = by_identity(planned);
    let total = current.iter().filter(is_team).count();
    let is_dropped = |row: &&Row| is_team(row) && !kept.contains_key(&row.identity());
    let count = current.iter().filter(is_dropped).count();
    let fraction = if total == 0 { 0.0 } else { count as f64 / total as f64 };
    Dropped { count, total, fraction }
}

/// Indexes rows by identity, without issued and withdrawn keys, which no sheet contains.
fn by_identity(rows: &[Row]) -> BTreeMap<String, &Row> {
    let planned = rows.iter().filter(|row| row.is_planned());
    planned.map(|row| (row.identity(), row)).collect()
}

fn change(change: &str, row: &str, before: Option<&Row>, after: Option<&Row>) -> Change {
    let text = |row: &Row| serde_json::to_string(row).unwrap_or_default();
    Change {
        change: change.to_owned(),
        row: row.to_owned(),
        before: before.map(text),
        after: after.map(text),
    }
}
