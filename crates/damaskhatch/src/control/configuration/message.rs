//! Messages to the configuration's actor, mostly from the operators' interface.

use std::collections::HashSet;

use damaskhatch_policy::config::Head;
use damaskhatch_policy::sheet::Row;
use damaskhatch_store::error::Error;

use crate::prelude::*;

/// Replaces the sheet at revision `base`; fails if another operation has written a newer one.
#[derive(Debug, Message)]
#[rtype(result = "std::result::Result<Head, Error>")]
pub struct Accept {
    /// The rows of the new sheet.
    pub rows: Vec<Row>,
    /// The revision that the operator's change is based on.
    pub base: u64,
    /// Identifies the operation, so that a retry after a lost response is not applied twice.
    pub operation: String,
}

/// Adds an issued key; fails if the team does not exist.
#[derive(Debug, Message)]
#[rtype(result = "std::result::Result<Head, Error>")]
pub struct Issue {
    /// The digest of the key; the key itself is not stored.
    pub digest: String,
    /// The name of the team that the key belongs to.
    pub team: String,
    /// Identifies the operation, so that a retry after a lost response is not applied twice.
    pub operation: String,
}

/// Withdraws the key with this digest on this host and sends the withdrawal to all others.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Withdraw(pub String);

/// Pulls the configuration from the peer at this address, which has a newer one.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Pull(pub std::net::SocketAddr);

/// Requests the hosts that confirmed the withdrawal of the key with this digest.
#[derive(Debug, Message)]
#[rtype(result = "Confirmations")]
pub struct GetConfirmations(pub String);

/// The progress of a withdrawal.
#[derive(Debug, Clone, Default, MessageResponse)]
pub struct Confirmations {
    /// The hosts that applied it, this one included; empty if it is no longer resent.
    pub hosts: HashSet<Tag>,
    /// Whether the store has all withdrawals that this host knows.
    pub is_saved: bool,
}

/// Requests the rows in force.
#[derive(Debug, Message)]
#[rtype(result = "Rows")]
pub struct GetRows;

/// The rows in force.
#[derive(Debug, Clone, MessageResponse)]
pub struct Rows {
    /// The revision in force.
    pub revision: u64,
    /// All rows of that revision, keys included.
    pub rows: Vec<Row>,
}
