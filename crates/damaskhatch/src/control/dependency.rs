//! Says once when something that a host depends on is lost, and once when it is back.

use std::fmt;

/// Whether one reader reaches what it depends on.
#[derive(Debug)]
pub struct Dependency {
    what: &'static str,
    reader: &'static str,
    is_reachable: bool,
}

impl Dependency {
    /// A dependency that counts as reachable until it fails.
    pub const fn new(what: &'static str, reader: &'static str) -> Self {
        Self { what, reader, is_reachable: true }
    }

    /// Whether the last call succeeded.
    pub const fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// Notes how a call ended, and logs a change.
    pub fn note(&mut self, error: Option<&impl fmt::Display>) {
        if self.is_reachable == error.is_none() {
            return;
        }
        self.is_reachable = error.is_none();
        let Self { what, reader, .. } = self;
        match error {
            None => log::info!("event=dependency_regained what={what} reader={reader}"),
            Some(error) => {
                log::warn!("event=dependency_lost what={what} reader={reader} error={error}");
            }
        }
    }
}
