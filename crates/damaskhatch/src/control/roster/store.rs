//! What the platform holds on a domain's hosts, and how it is read and written.

use std::collections::HashMap;

use damaskhatch_policy::tenure::{Confirmed, LEASE_TTL, Observed, Roster, Seat};
use damaskhatch_store::error::{Error, Result};
use damaskhatch_store::prelude::Client;

use crate::prelude::*;

/// What the platform holds on this domain's hosts.
#[derive(Debug)]
pub struct Reading {
    pub lease: u64,
    pub was_lost: bool,
    pub roster: Option<Roster>,
    pub version: u64,
    pub observed: Observed,
}

/// The keys of one domain in the platform.
#[derive(Debug, Clone)]
pub struct Keys {
    pub domain: String,
}

impl Keys {
    pub fn roster(&self) -> String {
        format!("damaskhatch/roster/{}", self.domain)
    }

    pub fn lease(&self, host: Tag) -> String {
        format!("damaskhatch/lease/{}/{host}", self.domain)
    }

    pub fn confirmed(&self, host: Tag) -> String {
        format!("damaskhatch/confirmed/{}/{host}", self.domain)
    }
}

/// Renews or takes the lease, reads the roster, and looks at the silent hosts' leases.
pub async fn read(
    client: Client,
    keys: Keys,
    seat: Seat,
    lease: Option<u64>,
    silent: Vec<Seat>,
) -> Result<Reading> {
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
        None => (take_lease(&client, &keys, seat).await?, true),
    };
    let (roster, version) = match client.get(&keys.roster()).await {
        Ok(item) => (Some(decode(&item.value)?), item.version),
        Err(Error::Missing) => (None, 0),
        Err(error) => return Err(error),
    };
    let mut observed = Observed::default();
    for seat in silent {
        if is_lapsed(&client, &keys, seat).await? {
            observed.lapsed.insert(seat);
            observed.confirmed.extend(read_confirmed(&client, &keys, seat.host).await?);
        }
    }
    Ok(Reading { lease, was_lost, roster, version, observed })
}

pub async fn take_lease(client: &Client, keys: &Keys, seat: Seat) -> Result<u64> {
    let lease = client.grant_lease(LEASE_TTL).await?;
    client.overwrite(&keys.lease(seat.host), &encode(&seat), Some(lease)).await?;
    Ok(lease)
}

/// Whether a life of a host has no lease; a later life's lease is not its own.
pub async fn is_lapsed(client: &Client, keys: &Keys, seat: Seat) -> Result<bool> {
    match client.get(&keys.lease(seat.host)).await {
        Ok(item) => Ok(decode::<Seat>(&item.value)? != seat),
        Err(Error::Missing) => Ok(true),
        Err(error) => Err(error),
    }
}

pub async fn read_confirmed(
    client: &Client,
    keys: &Keys,
    host: Tag,
) -> Result<HashMap<Tag, Confirmed>> {
    match client.get(&keys.confirmed(host)).await {
        Ok(item) => Ok(HashMap::from([(host, decode(&item.value)?)])),
        Err(Error::Missing) => Ok(HashMap::new()),
        Err(error) => Err(error),
    }
}

pub fn encode(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("rosters have only strings and finite numbers")
}

pub fn decode<T: serde::de::DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|error| Error::Malformed(error.to_string()))
}
