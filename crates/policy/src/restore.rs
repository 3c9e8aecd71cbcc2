//! Decides when a host may rely on a configuration in a store that may have been restored.
//!
//! A restored store may lack the latest configurations, and with them withdrawals of keys. Hosts that
//! run at the restore know better, and they record in the store, once an era, which revision a
//! configuration of that era must have. A host that finds no such record waits until what was lost has
//! been written again. See [docs/DESIGN.md](../../../docs/DESIGN.md#restored-store).

use crate::freshness::BootTime;
use crate::position::Position;
use crate::prelude::*;

/// How long a host that knows nothing of the time before a restore gives operators to write again what
/// the store has lost; the time in which a withdrawn key has to stop working.
pub const REWRITE_TIME: Duration = Duration::from_secs(5);

plain! { value
    /// What hosts have recorded about an era of the store.
    #[derive(Eq)]
    pub struct Record {
        /// The era.
        pub era: u64,
        /// The revision below which a configuration of that era is out of date.
        pub revision: u64,
    }
}

/// An era of the store, as one host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Era {
    number: u64,
    entered_at: BootTime,
    /// Whether the host has seen an earlier era.
    follows_another: bool,
    /// The revision in force on the host when it entered the era, if that was up to date.
    known_revision: Option<u64>,
    /// The record in the store; `None` if there is none or it has not been read.
    record: Option<Record>,
    /// Whether operators have written a configuration since the host entered the era.
    is_rewritten: bool,
}

impl Era {
    /// Enters an era at `now`; `follows_another` tells whether the host has seen an earlier one.
    ///
    /// `known_revision` is the revision in force on the host if the host had lately confirmed that it
    /// was the newest one.
    pub const fn enter(
        number: u64,
        follows_another: bool,
        known_revision: Option<u64>,
        now: BootTime,
    ) -> Self {
        Self {
            number,
            entered_at: now,
            follows_another,
            known_revision,
            record: None,
            is_rewritten: false,
        }
    }

    /// The number of the era.
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Takes the record into account that was read from the store in this era.
    pub const fn learn(&mut self, record: Option<Record>) {
        self.record = record;
    }

    /// Records that operators have written a configuration in this era.
    pub const fn note_rewrite(&mut self) {
        self.is_rewritten = true;
    }

    /// Whether the store says which revision a configuration of this era must have.
    pub fn is_recorded(&self) -> bool {
        self.record.is_some_and(|record| record.era == self.number)
    }

    /// Whether no newer configuration than `revision`, which the store held when a call was sent to it
    /// at `sent_at`, can have been lost with the restore.
    pub fn is_reliable(&self, revision: u64, sent_at: BootTime) -> bool {
        match self.record {
            Some(record) if record.era == self.number => revision >= record.revision,
            None if !self.may_follow_restore() => true,
            _ => {
                self.is_rewritten
                    || self.known_revision.is_some_and(|known| revision >= known)
                    || sent_at.since(self.entered_at) >= REWRITE_TIME
            }
        }
    }

    /// How long ago the host entered the era.
    pub const fn age(&self, now: BootTime) -> Duration {
        now.since(self.entered_at)
    }

    /// The time from `now` until the host relies on what the store holds for want of a record.
    pub fn wait(&self, now: BootTime) -> Duration {
        REWRITE_TIME.saturating_sub(self.age(now))
    }

    /// The record that a host with `revision` in force has to write; `None` if the store has it.
    pub fn missing_record(&self, revision: u64) -> Option<Record> {
        let needed = self.known_revision.unwrap_or(0);
        let is_covered = self
            .record
            .is_some_and(|record| record.era == self.number && record.revision >= needed);
        (!is_covered).then_some(Record { era: self.number, revision })
    }

    /// Whether the store may have been restored before this era, as far as the host knows.
    ///
    /// Without a record in the store, hosts have not run in an earlier era; see
    /// [`Position::follows_restore`] for the eras that no restore comes before.
    const fn may_follow_restore(&self) -> bool {
        self.follows_another || Position::new(self.number, 0).follows_restore()
    }
}
