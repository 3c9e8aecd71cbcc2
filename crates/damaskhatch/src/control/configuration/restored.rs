//! Restores of the store: what a started host holds back, and what hosts record and write again.
//!
//! See [docs/DESIGN.md](../../../../../docs/DESIGN.md#restored-store).

use damaskhatch_policy::config::Head;
use damaskhatch_policy::freshness::BootTime;
use damaskhatch_policy::position::Position;
use damaskhatch_policy::restore::{Era, Record};
use damaskhatch_policy::sheet::Row;
use damaskhatch_store::error::Error;
use damaskhatch_store::message::Swap;
use damaskhatch_store::prelude::{Client, Store};

use super::{Configuration, SharedArchive};
use crate::chunk::Chunks;
use crate::clock::boot_time;
use crate::config_pull::{self, Pulled, Source, pull};
use crate::prelude::*;

/// The key under which hosts record which revision the configurations of the store's era must have.
const RECORD_KEY: &str = "damaskhatch/era";
/// The role by which rendezvous hashing selects the host that writes the record.
const RECORDER_ROLE: &str = "era-recorder";
/// How long the other hosts leave the record to that host.
const RECORDER_TIME: Duration = Duration::from_secs(1);
/// The time that operators have at least to write again what the store has lost, if a host goes on as
/// up to date after a restore.
///
/// What the host does not know was acknowledged after it last confirmed its configuration, and a
/// withdrawn key has to stop working within [`damaskhatch_policy::restore::REWRITE_TIME`] from then on.
const INFORMED_MARGIN: Duration = Duration::from_secs(2);

/// What a host knows of restores of the store.
#[derive(Debug, Default)]
pub(super) struct State {
    /// The era that was last read; `None` before the first read.
    pub(super) era: Option<Era>,
    pub(super) last_read: Option<Found>,
    /// What a started host has read from a store that may lack a newer configuration, oldest first.
    pub(super) held: Vec<Pulled>,
    /// Whether a write of the era's record is in progress.
    pub(super) is_recording: bool,
}

/// What the last read of the store has found.
#[derive(Debug, Clone, Copy)]
pub(super) struct Found {
    /// The revision of the configuration; 0 if there was none, or no change.
    revision: u64,
    pub(super) sent_at: BootTime,
}

/// A read of the store.
pub(super) struct Read {
    pub(super) pulled: Pulled,
    /// The record of the store's era, as far as it was read.
    record: Recorded,
}

/// What a read of the store shows of the record of its era.
enum Recorded {
    Unread,
    Missing,
    Found(Record),
}

/// Reads the configuration, after the era's record if `records` is a client for that.
///
/// In this order the configuration cannot be older than the one that the record was written for.
pub(super) async fn read(
    source: Source,
    revision: u64,
    archive: SharedArchive,
    records: Option<Client>,
) -> config_pull::Result<Read> {
    let record = match records {
        Some(client) => match read_record(&client).await? {
            Some((record, _version)) => Recorded::Found(record),
            None => Recorded::Missing,
        },
        None => Recorded::Unread,
    };
    Ok(Read { pulled: pull(source, revision, archive).await?, record })
}

/// Reads the era's record and its key's version; `None` if there is none.
///
/// One that cannot be read counts as that of the first era, which no later era relies on.
async fn read_record(client: &Client) -> Result<Option<(Record, u64)>, Error> {
    match client.get(RECORD_KEY).await {
        Ok(item) => {
            let record = serde_json::from_str(&item.value).unwrap_or_else(|error| {
                log::warn!("event=era_record_unreadable key={RECORD_KEY} error={error}");
                Record { era: 0, revision: 0 }
            });
            Ok(Some((record, item.version)))
        }
        Err(Error::Missing) => Ok(None),
        Err(error) => Err(error),
    }
}

/// A configuration that the restored store has lost.
pub(super) struct Lost {
    pub(super) head: Head,
    pub(super) rows: Vec<Row>,
    /// The version of the older head that the store has.
    pub(super) version: u64,
}

impl Configuration {
    /// A client for the record of the store's era, unless that has been read already.
    pub(super) fn unread_records(&self) -> Option<Client> {
        let latest = self.shared.era.latest();
        let is_known =
            self.restored.era.is_some_and(|era| era.number() == latest && era.is_recorded());
        (!is_known).then(|| self.client())
    }

    /// Takes a read of the store into account that was sent at `sent_at`.
    ///
    /// A host without a configuration puts none in force while the store may lack a newer one. All
    /// others go on with theirs, which only a newer one replaces.
    pub(super) fn apply_read(&mut self, read: Read, sent_at: BootTime) {
        let Read { pulled, record } = read;
        let number = match pulled.version {
            0 => self.shared.era.latest(),
            version => Position::of(version).era,
        };
        let mut era = match self.restored.era {
            Some(era) if era.number() > number => return,
            Some(era) if era.number() == number => era,
            _ => self.enter_era(number),
        };
        match record {
            Recorded::Unread => {}
            Recorded::Missing => era.learn(None),
            Recorded::Found(record) => {
                era.learn(Some(record));
                self.shared.era.note_earlier(record.era);
            }
        }
        if pulled.is_change {
            era.note_rewrite();
        }
        self.restored.era = Some(era);
        self.restored.last_read = Some(Found { revision: pulled.head.revision, sent_at });
        if self.state.head().revision > 0 {
            return self.apply_pulled(pulled, "platform");
        }
        self.hold(pulled);
        let newest = self.restored.held.iter().map(|held| held.head.revision).max().unwrap_or(0);
        if era.is_reliable(newest, sent_at) {
            self.publish.held_until.send_replace(None);
            for held in std::mem::take(&mut self.restored.held) {
                self.apply_pulled(held, "platform");
            }
            return;
        }
        let until = BootTime(boot_time().0 + era.wait(boot_time()));
        if self.publish.held_until.send_replace(Some(until)).is_none() {
            log::warn!("event=config_held_back era={number} revision={newest} reason=restored");
        }
    }

    fn enter_era(&self, number: u64) -> Era {
        let is_restored = self.restored.era.is_some() || self.shared.era.has_seen_restore();
        let revision = self.state.head().revision;
        let max_age = self.watch_timeout() + INFORMED_MARGIN;
        let is_informed = self.shared.config_age().is_some_and(|age| age <= max_age);
        let known = (revision > 0 && is_informed).then_some(revision);
        if is_restored || revision == 0 {
            log::info!("event=era_entered era={number} revision={revision} informed={is_informed}");
        }
        Era::enter(number, is_restored, known, boot_time())
    }

    /// Keeps what was read until it may come into force; only the newest rows are needed.
    fn hold(&mut self, pulled: Pulled) {
        self.version = self.version.max(pulled.version);
        if pulled.rows.is_some() {
            for earlier in &mut self.restored.held {
                (earlier.head, earlier.rows) = (Head::default(), None);
                earlier.chunks = Chunks::new();
            }
        }
        self.restored.held.push(pulled);
    }

    /// Records that the configuration in force was the newest when a read was sent, if that is certain.
    pub(super) fn confirm(&self, sent_at: BootTime) {
        let revision = self.state.head().revision;
        let is_reliable = self.restored.era.is_some_and(|era| era.is_reliable(revision, sent_at));
        if is_reliable && !self.shared.is_behind_peer() {
            self.publish.freshness.send_modify(|freshness| freshness.confirm(sent_at));
        }
    }

    /// Records which revision a configuration of the store's era must have, unless the store says so.
    pub(super) fn record_era(&mut self, ctx: &mut Context<Self>) {
        let (Some(era), Some(read)) = (self.restored.era, self.restored.last_read) else { return };
        let revision = self.state.head().revision;
        let Some(record) = era.missing_record(revision) else { return };
        // What hosts write themselves they write again first; operators do that with the rest.
        let is_saved = self.foreign().is_some()
            || (read.revision >= revision && !self.state.has_unsaved_withdrawal());
        let is_due = self.shared.rank_for(Tag::of(RECORDER_ROLE), Instant::now()) == 0
            || era.age(boot_time()) >= RECORDER_TIME;
        if self.restored.is_recording
            || !is_saved
            || !is_due
            || !era.is_reliable(revision, read.sent_at)
            || !self.shared.is_reader()
            || self.shared.is_settling()
        {
            return;
        }
        self.restored.is_recording = true;
        let client = self.client();
        let written = async move { write_record(&client, record).await };
        ctx.spawn(written.into_actor(self).map(move |written, actor, _ctx| {
            actor.restored.is_recording = false;
            match written {
                Ok(written) => {
                    let Record { era, revision } = written;
                    log::info!("event=era_recorded era={era} revision={revision}");
                    let current =
                        actor.restored.era.as_mut().filter(|current| current.number() == era);
                    current.into_iter().for_each(|current| current.learn(Some(written)));
                }
                Err(error) => log::info!("event=era_not_recorded era={} error={error}", record.era),
            }
        }));
    }

    /// The head in force with its rows, if the store has an older one.
    ///
    /// Only a restored store goes back. A read that was overtaken by a write of this host looks
    /// the same, and the version that it read then makes the write of the older head fail.
    pub(super) fn lost_head(&self, pulled: &Pulled) -> Option<Lost> {
        let (head, rows) = (self.state.head(), self.state.rows());
        let is_own_format = self.foreign().is_none();
        (is_own_format && pulled.head.revision < head.revision).then(|| Lost {
            head: head.clone(),
            rows: rows.to_vec(),
            version: pulled.version,
        })
    }

    /// Writes a configuration again that the restored store has lost.
    pub(super) fn write_lost(&self, lost: Lost, ctx: &mut Context<Self>) {
        let Lost { head, rows, version } = lost;
        let store = Store::new(self.client());
        let written =
            async move { (store.write_again(&head, &rows, version).await, head.revision) };
        ctx.spawn(written.into_actor(self).map(
            |(written, revision), _actor, _ctx| match written {
                Ok(()) => log::warn!("event=config_written_again revision={revision}"),
                Err(error) => {
                    log::info!("event=config_not_written_again revision={revision} error={error}");
                }
            },
        ));
    }
}

/// Writes the record unless the store has one that covers it; returns the one that the store has then.
async fn write_record(client: &Client, record: Record) -> Result<Record, Error> {
    let version = match read_record(client).await? {
        Some((found, _)) if found.era == record.era && found.revision >= record.revision => {
            return Ok(found);
        }
        Some((_, version)) => version,
        None => 0,
    };
    let value = serde_json::to_string(&record).expect("a record has only numbers");
    client.compare_and_swap(RECORD_KEY, &Swap { value, expect: version, lease: None }).await?;
    Ok(record)
}
