//! The plan of a fleet: its size and its settings.

use std::path::PathBuf;

/// The processes of a fleet and how they are set up.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The executable of all processes, `damaskhatch-demo`.
    pub program: PathBuf,
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Hosts in each domain.
    pub hosts_per_domain: usize,
    /// Prefill engines in each domain.
    pub prefills_per_domain: usize,
    /// Decode engines in each domain.
    pub decodes_per_domain: usize,
    /// Upstreams of the plain service in each domain.
    pub services_per_domain: usize,
    /// Teams as name, rate in tokens per second, and burst in tokens.
    pub teams: Vec<(String, f64, f64)>,
    /// Additional command-line arguments of the engines.
    pub engine_args: Vec<String>,
    /// Additional settings of the hosts, as INI lines of the section `[limits]`.
    pub limits: String,
    /// Whether calls to the plain service may be run more than once.
    pub repeatable: bool,
    /// The log filter of all processes, in the syntax of `RUST_LOG`.
    pub log_filter: String,
    /// Whether traffic passes through proxies that inject faults.
    pub proxied: bool,
}

impl Plan {
    /// Three domains, each with two hosts, a prefill and a decode engine, and a plain service.
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
