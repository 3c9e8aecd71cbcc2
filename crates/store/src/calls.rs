//! The number of calls to the store, by what they are for.

use prometheus::{IntCounterVec, Opts};

use crate::error::Error;
use crate::protocol::Call;

/// The labels of the counter that a client counts its calls in.
pub const LABELS: [&str; 3] = ["purpose", "call", "result"];

/// Counts the calls of a client.
#[derive(Debug, Clone)]
pub struct Calls {
    counter: IntCounterVec,
    purpose: &'static str,
}

impl Calls {
    /// Counts calls for `purpose` in a counter with the labels [`LABELS`].
    pub const fn new(counter: IntCounterVec, purpose: &'static str) -> Self {
        Self { counter, purpose }
    }

    /// Counts calls that no metrics report, for tests and tools.
    pub fn unreported() -> Self {
        let counter = IntCounterVec::new(Opts::new("calls_total", "Calls."), &LABELS);
        Self::new(counter.expect("the name is valid"), "unreported")
    }

    /// Counts a call. That a key is missing or has another version is an answer, not a failure.
    pub(crate) fn count(&self, call: &Call<'_>, error: Option<&Error>) {
        let result = match error {
            // Nothing was sent.
            Some(Error::Unsupported) => return,
            None | Some(Error::Missing | Error::Conflict(_)) => "ok",
            Some(_) => "failed",
        };
        self.counter.with_label_values(&[self.purpose, name(call), result]).inc();
    }
}

const fn name(call: &Call<'_>) -> &'static str {
    match call {
        Call::Get(_) => "get",
        Call::List { .. } => "list",
        Call::Watch { .. } => "watch",
        Call::Swap(..) => "swap",
        Call::Lease(_) => "lease",
        Call::Renew(_) => "renew",
        Call::Revoke(_) => "revoke",
        Call::Hosts => "hosts",
    }
}
