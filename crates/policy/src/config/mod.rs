//! The configuration in force on a host, and how new revisions are applied.
//!
//! A host applies only higher revisions and merges withdrawn keys in any order,
//! so late, lost or duplicated messages cannot return it to an earlier state.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use crate::prelude::*;
use crate::sheet::Row;

pub mod snapshot;

pub use snapshot::{Access, DomainEntry, ServiceEntry, Snapshot, TeamEntry, UpstreamEntry};

/// The average number of rows per chunk that [`split`] aims at in a small configuration.
const MIN_ROWS_PER_CHUNK: usize = 64;
/// The average number of chunks that [`split`] does not exceed, so that the head stays small.
const TARGET_CHUNKS: usize = 256;

plain! { data
    /// The root of one revision, which a compare-and-swap replaces atomically.
    #[derive(Eq, Default)]
    pub struct Head {
        /// The number of the configuration, counted from 1; 0 before the first.
        pub revision: u64,
        /// The id of the operation that wrote the head, by which a writer that got no response
        /// finds out whether its write took effect.
        pub operation: String,
        /// The ids of earlier operations, newest first, for writers that read the head only after
        /// further writes.
        pub earlier: Vec<String>,
        /// The digests of the chunks, in order.
        pub chunks: Vec<String>,
    }
}

/// The maximum number of earlier operations that a head lists.
const MAX_EARLIER_OPERATIONS: usize = 16;

impl Head {
    /// Returns the head of the next revision.
    #[must_use]
    pub fn next(&self, operation: &str, chunks: Vec<String>) -> Self {
        let replaced = (self.revision > 0).then(|| self.operation.clone());
        let earlier = replaced.into_iter().chain(self.earlier.iter().cloned());
        Self {
            revision: self.revision + 1,
            operation: operation.to_owned(),
            earlier: earlier.take(MAX_EARLIER_OPERATIONS).collect(),
            chunks,
        }
    }

    /// Whether the operation wrote this head or one of the earlier ones that it lists.
    pub fn includes(&self, operation: &str) -> bool {
        self.operation == operation || self.earlier.iter().any(|earlier| earlier == operation)
    }
}

/// Splits rows, sorted by their identity, into chunks that end at rows chosen by its hash.
///
/// So a changed row changes only its chunk, and rows that are added side by side, as the routes of
/// another host are, change only the chunks around them, whatever the number of rows. Of rows with
/// the same identity the last is kept.
pub fn split(rows: &[Row]) -> Vec<Vec<Row>> {
    let rows: BTreeMap<String, &Row> = rows.iter().map(|row| (row.identity(), row)).collect();
    // A power of two, so that the ends of larger chunks are ends of smaller ones, too.
    let rows_per_chunk =
        rows.len().div_ceil(TARGET_CHUNKS).next_power_of_two().max(MIN_ROWS_PER_CHUNK) as u64;
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    for (identity, row) in rows {
        chunk.push(row.clone());
        if Tag::of(&identity).0.is_multiple_of(rows_per_chunk) {
            chunks.push(std::mem::take(&mut chunk));
        }
    }
    if !chunk.is_empty() {
        chunks.push(chunk);
    }
    chunks
}

/// The result of [`State::apply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The revision is now in force.
    InForce,
    /// A revision at least as high was already in force; nothing changed.
    Stale,
}

/// The configuration of one host.
#[derive(Debug, Clone, Default)]
pub struct State {
    head: Head,
    rows: Vec<Row>,
    snapshot: Arc<Snapshot>,
}

impl State {
    /// The head of the revision in force.
    pub const fn head(&self) -> &Head {
        &self.head
    }

    /// The rows of the revision in force.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// The snapshot of the revision in force, with all withdrawn keys known so far.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot)
    }

    /// Applies a revision unless one at least as high is already in force.
    pub fn apply(&mut self, head: Head, rows: Vec<Row>) -> Applied {
        if head.revision <= self.head.revision {
            return Applied::Stale;
        }
        self.snapshot = Arc::new(self.snapshot.next(head.revision, &rows));
        self.head = head;
        self.rows = rows;
        Applied::InForce
    }

    /// Withdraws a key regardless of the revision; returns false if it was already withdrawn.
    pub fn withdraw(&mut self, digest: &str) -> bool {
        if self.snapshot.is_withdrawn(digest) {
            return false;
        }
        Arc::make_mut(&mut self.snapshot).withdraw(digest);
        true
    }

    /// Returns the rows of the next revision if `planned` replaces the sheet.
    ///
    /// Keys and withdrawals are kept, since a sheet must not undo them.
    pub fn with_sheet(&self, planned: &[Row]) -> Vec<Row> {
        let kept = self.rows.iter().filter(|row| !row.is_planned());
        let mut rows: Vec<Row> = planned.iter().chain(kept).cloned().collect();
        self.add_withdrawn(&mut rows);
        rows
    }

    /// Returns the rows of the next revision if `row` is added to those in force.
    ///
    /// Without a row only withdrawals that are not yet saved are added.
    pub fn with_row(&self, row: Option<Row>) -> Vec<Row> {
        let mut rows = self.rows.clone();
        rows.extend(row);
        self.add_withdrawn(&mut rows);
        rows
    }

    /// Whether a withdrawal is known that is not among the rows of the revision in force.
    pub fn has_unsaved_withdrawal(&self) -> bool {
        let saved = self.rows.iter().filter(|row| matches!(row, Row::Withdrawn { .. })).count();
        saved < self.snapshot.withdrawn().count()
    }

    fn add_withdrawn(&self, rows: &mut Vec<Row>) {
        let mut known: HashSet<String> = rows.iter().map(Row::identity).collect();
        for digest in self.snapshot.withdrawn() {
            let row = Row::Withdrawn { digest: digest.to_owned() };
            if known.insert(row.identity()) {
                rows.push(row);
            }
        }
    }
}
