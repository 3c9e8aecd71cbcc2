//! Reads and writes the records of a domain's hosts in the store.

use std::collections::{HashMap, HashSet};

use damaskhatch_policy::tenure::{Confirmed, LEASE_TTL, Observed, Roster, Seat};
use damaskhatch_store::error::{Error, Result};
use damaskhatch_store::message::Grant;
use damaskhatch_store::prelude::Client;
use serde::de::DeserializeOwned;

use crate::prelude::*;

/// The state of a domain's hosts, as one step has read it.
#[derive(Debug)]
pub struct Reading {
    /// This host's lease.
    pub lease: Grant,
    /// Whether the lease is a new one because none was held or the earlier one had expired.
    pub was_lost: bool,
    /// `None` if the domain has no roster yet.
    pub roster: Option<Roster>,
    /// The store's version of the roster; 0 if there is none.
    pub version: u64,
    /// The expired leases of silent hosts, with the last epochs that these confirmed.
    pub observed: Observed,
}

/// The keys in the store for the hosts of one domain.
#[derive(Debug, Clone)]
pub struct Keys {
    /// The name of the domain.
    pub domain: String,
}

impl Keys {
    pub fn roster(&self) -> String {
        format!("damaskhatch/roster/{}", self.domain)
    }

    pub fn lease(&self, host: Tag) -> String {
        format!("{}{host}", self.leases())
    }

    pub fn confirmed(&self, host: Tag) -> String {
        format!("{}{host}", self.confirmations())
    }

    /// The prefix of the keys of all leases.
    fn leases(&self) -> String {
        format!("damaskhatch/lease/{}/", self.domain)
    }

    /// The prefix of the keys of what all hosts confirmed.
    fn confirmations(&self) -> String {
        format!("damaskhatch/confirmed/{}/", self.domain)
    }
}

/// What a step asks of the store.
#[derive(Debug)]
pub struct Query {
    /// This incarnation of the host.
    pub seat: Seat,
    /// Its lease; `None` before it is granted.
    pub lease: Option<Grant>,
    /// The incarnations whose leases are read.
    pub silent: Vec<Seat>,
    /// Whether the roster may be some seconds old, if the lease has not ended.
    pub may_be_stale: bool,
}

/// Renews or acquires the lease, then reads the roster and the leases of the silent hosts.
pub async fn read(client: Client, keys: Keys, query: Query) -> Result<Reading> {
    let Query { seat, lease, silent, may_be_stale } = query;
    let renewed = match lease {
        Some(lease) => match client.renew_lease(lease).await {
            Ok(()) => Some(lease),
            Err(Error::Missing) => None,
            Err(error) => return Err(error),
        },
        None => None,
    };
    let (lease, was_lost) = match renewed {
        Some(lease) => (lease, false),
        None => (acquire_lease(&client, &keys, seat).await?, true),
    };
    let key = keys.roster();
    let item = if may_be_stale && !was_lost {
        client.get_stale(&key).await
    } else {
        client.get(&key).await
    };
    let (roster, version) = match item {
        Ok(item) => (Some(decode(&item.value)?), item.version),
        Err(Error::Missing) => (None, 0),
        Err(error) => return Err(error),
    };
    let observed = observe_silent(&client, &keys, silent).await?;
    Ok(Reading { lease, was_lost, roster, version, observed })
}

/// Requests a lease and binds this incarnation's lease record to it.
pub async fn acquire_lease(client: &Client, keys: &Keys, seat: Seat) -> Result<Grant> {
    let lease = client.grant_lease(LEASE_TTL).await?;
    client.overwrite(&keys.lease(seat.host), &encode(&seat), Some(lease), 0).await?;
    Ok(lease)
}

/// Finds out which silent incarnations have no lease, and what their hosts last confirmed.
///
/// The lease of a later incarnation of a host is not that of an earlier one.
async fn observe_silent(client: &Client, keys: &Keys, silent: Vec<Seat>) -> Result<Observed> {
    let hosts: HashSet<Tag> = silent.iter().map(|seat| seat.host).collect();
    let leases: Records<Seat> = read_records(client, &keys.leases(), hosts).await?;
    // A record that another writer has spoilt does not say whether its host still renews the lease.
    let has_lapsed = |seat: &Seat| {
        !leases.malformed.contains(&seat.host) && leases.sound.get(&seat.host) != Some(seat)
    };
    let lapsed: HashSet<Seat> = silent.into_iter().filter(has_lapsed).collect();
    let hosts = lapsed.iter().map(|seat| seat.host).collect();
    let confirmed: Records<Confirmed> = read_records(client, &keys.confirmations(), hosts).await?;
    Ok(Observed { lapsed, confirmed: confirmed.sound, ..Observed::default() })
}

/// The records of some hosts under one prefix.
#[derive(Debug)]
struct Records<T> {
    sound: HashMap<Tag, T>,
    /// The hosts whose records cannot be decoded.
    malformed: HashSet<Tag>,
}

impl<T: DeserializeOwned> Records<T> {
    fn new() -> Self {
        Self { sound: HashMap::new(), malformed: HashSet::new() }
    }

    /// Decodes the record of a host, and logs one that is malformed.
    fn add(&mut self, host: Tag, key: &str, value: &str) {
        match decode(value) {
            Ok(record) => drop(self.sound.insert(host, record)),
            Err(error) => {
                log::warn!("event=record_left_out key={key:?} error={error}");
                self.malformed.insert(host);
            }
        }
    }
}

/// Reads the records of some hosts under a prefix, all in one call where the store can list keys.
///
/// After many hosts have failed together, a call for each would be most of the store's load.
async fn read_records<T: DeserializeOwned>(
    client: &Client,
    prefix: &str,
    hosts: HashSet<Tag>,
) -> Result<Records<T>> {
    let mut records = Records::new();
    if hosts.len() > 1 {
        match client.list(prefix, false).await {
            Ok(listing) => {
                let keys: HashMap<String, Tag> =
                    hosts.iter().map(|host| (format!("{prefix}{host}"), *host)).collect();
                for (key, item) in listing.items {
                    if let (Some(host), Some(item)) = (keys.get(&key), item) {
                        records.add(*host, &key, &item.value);
                    }
                }
                return Ok(records);
            }
            // This store reads keys one by one.
            Err(Error::Unsupported) => {}
            Err(error) => return Err(error),
        }
    }
    for host in hosts {
        let key = format!("{prefix}{host}");
        match client.get(&key).await {
            Ok(item) => records.add(host, &key, &item.value),
            Err(Error::Missing) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(records)
}

pub fn encode(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("rosters have only strings and finite numbers")
}

pub fn decode<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| Error::Malformed(error.to_string()))
}
