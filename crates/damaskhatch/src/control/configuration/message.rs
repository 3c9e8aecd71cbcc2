//! What the operators' interface asks of the configuration.

use std::collections::HashSet;

use damaskhatch_policy::config::Head;
use damaskhatch_policy::sheet::Row;
use damaskhatch_store::error::Error;

use crate::prelude::*;

/// Accepts a sheet in place of the one at revision `base`.
#[derive(Debug, Message)]
#[rtype(result = "std::result::Result<Head, Error>")]
pub struct Accept {
    /// The planned rows.
    pub rows: Vec<Row>,
    /// The revision that the operator saw.
    pub base: u64,
    /// The operation, by which a lost reply is settled.
    pub operation: String,
}

/// Adds an issued key.
#[derive(Debug, Message)]
#[rtype(result = "std::result::Result<Head, Error>")]
pub struct Issue {
    /// The key's digest.
    pub digest: String,
    /// The team's name.
    pub team: String,
    /// The operation, by which a lost reply is settled.
    pub operation: String,
}

/// Withdraws a key on this host and tells all others.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Withdraw(pub String);

/// Pulls the configuration from a peer that has a newer one.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Pull(pub std::net::SocketAddr);

/// Asks which hosts confirmed a withdrawal.
#[derive(Debug, Message)]
#[rtype(result = "Confirmations")]
pub struct GetConfirmations(pub String);

/// The hosts that confirmed a withdrawal.
#[derive(Debug, Clone, Default, MessageResponse)]
pub struct Confirmations {
    /// Hosts that confirmed, this one included.
    pub hosts: HashSet<Tag>,
    /// Whether the platform has it.
    pub is_saved: bool,
}

/// Asks for the rows in force.
#[derive(Debug, Message)]
#[rtype(result = "Rows")]
pub struct GetRows;

/// The rows in force.
#[derive(Debug, Clone, MessageResponse)]
pub struct Rows {
    /// The revision.
    pub revision: u64,
    /// The rows.
    pub rows: Vec<Row>,
}
