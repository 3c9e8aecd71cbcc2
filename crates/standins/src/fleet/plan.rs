//! What a test fleet consists of.

use std::path::PathBuf;

/// What a fleet consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The program that runs every role.
    pub program: PathBuf,
    /// Domains.
    pub domains: Vec<String>,
    /// Hosts in each domain.
    pub hosts_per_domain: usize,
    /// Prefill engines in each domain.
    pub prefills_per_domain: usize,
    /// Decode engines in each domain.
    pub decodes_per_domain: usize,
    /// Plain back ends in each domain.
    pub services_per_domain: usize,
    /// Teams with rate and burst.
    pub teams: Vec<(String, f64, f64)>,
    /// More arguments for engines.
    pub engine_args: Vec<String>,
    /// More settings of hosts, as INI lines under `[limits]`.
    pub limits: String,
    /// Whether the plain service's calls may be repeated.
    pub repeatable: bool,
    /// The level of the hosts' logs.
    pub log_filter: String,
    /// Whether a fault proxy stands before every process.
    pub proxied: bool,
}

impl Plan {
    /// Six hosts in three domains, one pair of engines in each, one plain service.
    pub fn small(program: PathBuf) -> Self {
        Self {
            program,
            domains: ["bern-a", "olten-b", "solothurn-c"].map(str::to_owned).to_vec(),
            hosts_per_domain: 2,
            prefills_per_domain: 1,
            decodes_per_domain: 1,
            services_per_domain: 1,
            teams: vec![
                ("release".to_owned(), 2_000_000.0, 4_000_000.0),
                ("audit".to_owned(), 1_000_000.0, 2_000_000.0),
            ],
            engine_args: Vec::new(),
            limits: String::new(),
            repeatable: false,
            proxied: false,
            log_filter: std::env::var("RUST_LOG").unwrap_or_else(|_unset| "warn".to_owned()),
        }
    }
}
