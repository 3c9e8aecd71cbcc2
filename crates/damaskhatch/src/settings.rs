//! The settings of a daemon, read from an INI file.
//!
//! The `settings!` table declares each key once, with its default, check and description. The
//! parser, the checks and the output of `damaskhatchd --list-settings` are generated from it.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use damaskhatch_policy::homes::Regions;
use damaskhatch_policy::schedule::Rules;
use ini::Ini;

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The path of the file.
    pub file: String,
    /// The section, without brackets; empty where the whole file is at fault.
    pub section: String,
    /// The key; empty where the section or the file is at fault.
    pub key: String,
    /// What is wrong, and what would be right where that is not evident.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, section, key, reason } = self;
        write!(f, "{file}: [{section}] {key}: {reason}")
    }
}

impl std::error::Error for Fault {}

/// A type of setting that can be parsed from text.
trait Value: Sized {
    fn parse(text: &str) -> Result<Self, String>;
}

impl Value for String {
    fn parse(text: &str) -> Result<Self, String> {
        if text.is_empty() { Err("must not be empty".to_owned()) } else { Ok(text.to_owned()) }
    }
}

impl Value for u64 {
    /// Parses a whole number, or a decimal fraction, which is rounded down.
    fn parse(text: &str) -> Result<Self, String> {
        let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let is_decimal = !fraction.is_empty() && fraction.bytes().all(|byte| byte.is_ascii_digit());
        let number = if is_decimal { whole.parse().ok() } else { None };
        number.ok_or_else(|| format!("{text:?} is not a whole number"))
    }
}

impl Value for SocketAddr {
    fn parse(text: &str) -> Result<Self, String> {
        text.parse().map_err(|_error| format!("{text:?} is not IP:PORT"))
    }
}

impl Value for Option<SocketAddr> {
    fn parse(text: &str) -> Result<Self, String> {
        if text.is_empty() { Ok(None) } else { SocketAddr::parse(text).map(Some) }
    }
}

impl Value for Vec<String> {
    fn parse(text: &str) -> Result<Self, String> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        Ok(parts.map(str::to_owned).collect())
    }
}

impl Value for Vec<(String, String)> {
    /// Parses pairs; one with an empty part, as a template leaves it for a value that it is not given,
    /// says nothing.
    fn parse(text: &str) -> Result<Self, String> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let pairs = parts.map(|part| match part.split_once(':') {
            Some((name, value)) => Ok((name.trim().to_owned(), value.trim().to_owned())),
            None => Err(format!("{part:?} is not NAME:VALUE")),
        });
        let pairs = pairs.filter(|pair| {
            pair.as_ref().map_or(true, |(name, value)| !name.is_empty() && !value.is_empty())
        });
        pairs.collect()
    }
}

impl Value for Vec<SocketAddr> {
    fn parse(text: &str) -> Result<Self, String> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(SocketAddr::parse).collect()
    }
}

/// Reads the keys of one section and collects every fault.
struct Section<'a> {
    file: &'a str,
    name: &'a str,
    properties: Option<&'a ini::Properties>,
    faults: &'a mut Vec<Fault>,
}

impl Section<'_> {
    fn add_fault(&mut self, key: &str, reason: String) {
        let (file, section) = (self.file.to_owned(), self.name.to_owned());
        self.faults.push(Fault { file, section, key: key.to_owned(), reason });
    }

    fn read<T: Value>(
        &mut self,
        key: &str,
        default: Option<&str>,
        check: impl Fn(&T) -> Result<(), String>,
    ) -> Option<T> {
        // A template leaves a value empty if it is given none.
        let set = self.properties.and_then(|section| section.get(key));
        let set = set.filter(|text| default.is_none() || !text.trim().is_empty());
        let Some(text) = set.or(default) else {
            self.add_fault(key, "is missing".to_owned());
            return None;
        };
        let value = T::parse(text.trim()).and_then(|value| check(&value).map(|()| value));
        value.map_err(|reason| self.add_fault(key, reason)).ok()
    }

    fn check_keys(&mut self, known: &[&str]) {
        let Some(properties) = self.properties else {
            return;
        };
        let keys = properties.iter().map(|(key, _)| key.to_owned());
        let unknown: Vec<String> = keys.filter(|key| !known.contains(&key.as_str())).collect();
        for key in unknown {
            self.add_fault(&key, format!("unknown key; known keys: {}", known.join(", ")));
        }
    }
}

#[expect(clippy::unnecessary_wraps, reason = "every check of a setting has this shape")]
fn accept_any<T>(_value: &T) -> Result<(), String> {
    Ok(())
}

fn within(range: RangeInclusive<u64>) -> impl Fn(&u64) -> Result<(), String> {
    move |value| {
        let (low, high) = (range.start(), range.end());
        let is_inside = range.contains(value);
        if is_inside { Ok(()) } else { Err(format!("{value} is not within {low} to {high}")) }
    }
}

#[expect(clippy::ptr_arg, reason = "a check takes a reference to the setting's own type")]
fn check_secret_length(secret: &String) -> Result<(), String> {
    if secret.len() < MIN_SECRET_BYTES {
        return Err(format!(
            "has {} bytes; at least {MIN_SECRET_BYTES} are required",
            secret.len()
        ));
    }
    Ok(())
}

/// The minimum length of the secret that authenticates frames between hosts, in bytes.
const MIN_SECRET_BYTES: usize = 16;

macro_rules! settings {
    ($(
        $(#[doc = $about:literal])+
        $section:ident: $Section:ident {
            $( $key:ident: $type:ty, $default:expr, $check:expr, $description:literal; )+
        }
    )+) => {
        $(
            $(#[doc = $about])+
            #[derive(Debug, Clone, PartialEq)]
            pub struct $Section {
                $( #[doc = $description] pub $key: $type, )+
            }

            impl $Section {
                fn read(section: &mut Section<'_>) -> Option<Self> {
                    section.check_keys(&[$( stringify!($key) ),+]);
                    $( let $key = section.read::<$type>(stringify!($key), $default, $check); )+
                    Some(Self { $( $key: $key?, )+ })
                }
            }
        )+

        /// All settings of a daemon.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Settings {
            /// The file that the settings were read from.
            pub file: std::path::PathBuf,
            $( $(#[doc = $about])+ pub $section: $Section, )+
        }

        impl Settings {
            fn read(file: &str, ini: &Ini) -> Result<Self, Vec<Fault>> {
                let mut faults = Vec::new();
                check_sections(file, ini, &[$( stringify!($section) ),+], &mut faults);
                $(
                    let $section = $Section::read(&mut Section {
                        file,
                        name: stringify!($section),
                        properties: ini.section(Some(stringify!($section))),
                        faults: &mut faults,
                    });
                )+
                match ($( $section, )+) {
                    ($( Some($section), )+) if faults.is_empty() => {
                        Ok(Self { file: file.into(), $( $section, )+ })
                    },
                    _ => Err(faults),
                }
            }

            /// Lists every section and key with its default and description.
            pub fn describe() -> String {
                let mut text = String::new();
                $(
                    text.push_str(concat!("[", stringify!($section), "]\n"));
                    $( text.push_str(&describe_key(stringify!($key), $default, $description)); )+
                    text.push('\n');
                )+
                text
            }
        }
    };
}

settings! {
    /// The host's name, failure domain and addresses.
    host: Host {
        name: String, None, accept_any, "the host's name, unique in the fleet";
        domain: String, None, accept_any, "the name of the failure domain, as in the sheet";
        caller: SocketAddr, None, accept_any, "the address to serve callers on, IP:PORT";
        operator: SocketAddr, None, accept_any, "the address to serve operators on, IP:PORT";
        peer: SocketAddr, None, accept_any, "the address for other hosts, UDP and TCP, IP:PORT";
        advertise: Option<SocketAddr>, Some(""), accept_any,
            "the peer address as other hosts reach it, if it differs, IP:PORT";
        seeds: Vec<SocketAddr>, Some(""), accept_any,
            "peer addresses to contact at the start, IP:PORT, comma-separated";
        secret: String, None, check_secret_length,
            "the secret shared by all hosts, at least 16 bytes";
        workers: u64, Some("2"), within(1..=64), "threads that serve callers";
        ready: Option<SocketAddr>, Some(""), accept_any,
            "the address of the readiness check for load balancers, IP:PORT";
        ready_path: String, Some("/ready"), accept_any, "the path of the readiness check";
        domains: Vec<String>, Some(""), accept_any,
            "the failure domains, comma-separated, if no sheet lists them";
        regions: Vec<(String, String)>, Some(""), accept_any,
            "the region of each failure domain, DOMAIN:REGION, comma-separated";
    }
    /// The platform's key-value store and list of hosts.
    platform: Platform {
        address: SocketAddr, None, accept_any, "the address of the platform's store, IP:PORT";
    }
    /// Limits on the size, duration and admission of requests.
    limits: Limits {
        max_body_bytes: u64, Some("1048576"), within(1_024..=67_108_864),
            "the largest request body, in bytes";
        default_output_tokens: u64, Some("256"), within(1..=100_000),
            "the output limit of a request that sets none, in tokens";
        first_token_ms: u64, Some("760"), within(10..=60_000),
            "the target for the time to the first token, in milliseconds";
        patience_ms: u64, Some("5000"), within(100..=600_000),
            "how long a request may wait for engines, in milliseconds";
        plain_timeout_ms: u64, Some("30000"), within(100..=3_600_000),
            "the timeout for a response of a plain service, in milliseconds";
        notice_ms: u64, Some("1000"), within(0..=60_000),
            "how long a draining host still accepts callers, in milliseconds";
        key_freshness_ms: u64, Some("0"), within(0..=3_600_000),
            "the configuration age up to which keys are accepted, in milliseconds; 0: no limit";
        rate_slack_tokens: u64, Some("0"), within(0..=1_000_000_000),
            "the tokens that a team may get beyond its rate and burst within a few seconds";
        memory_mb: u64, Some("128"), within(32..=1_048_576),
            "the memory that the process may use, in MiB, at most the machine's; three fifths are for bodies";
        unread_ms: u64, Some("20000"), within(1_000..=3_600_000),
            "how long a caller may take nothing of what is sent to it, in milliseconds; then it is cut off";
        body_grace_ms: u64, Some("25000"), within(1_000..=3_600_000),
            "how long a request body may take beyond its bytes at 1 kB/s, in milliseconds; then it is refused";
        drain_s: u64, Some("300"), within(1..=86_400),
            "the time for a graceful stop, in seconds, after which requests are ended";
    }
    /// How engines are shared between teams and between late and on-time requests.
    schedule: Schedule {
        late_reserve_percent: u64, Some("4"), within(0..=50),
            "decode slots kept free of late requests, in percent; higher values favour goodput";
        prefill_percent: u64, Some("0"), within(0..=90),
            "the share of a model's engines that prefill, in percent; 0: engines keep their roles";
        reserve_percent: u64, Some("100"), within(10..=100),
            "the share of a routed stream's forecast length for which memory is reserved, in percent; lower values admit more streams, of which more are preempted";
        last_call_ms: u64, Some("2000"), within(0..=600_000),
            "how long before its patience ends a late request may use the reserve, in milliseconds";
        burst_credit_ms: u64, Some("4000"), within(0..=600_000),
            "how far a team may run ahead of its share, in milliseconds of its rate";
    }
}

impl Settings {
    /// Reads and checks a file; returns all its faults at once.
    pub fn load(path: &Path) -> Result<Self, Vec<Fault>> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            vec![file_fault(&file, format!("the file cannot be read: {error}"))]
        })?;
        Self::parse(&file, &text)
    }

    /// Parses and checks the text of a settings file; `file` names it in faults.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let ini = Ini::load_from_str(text)
            .map_err(|error| vec![file_fault(file, format!("invalid INI syntax: {error}"))])?;
        Self::read(file, &ini)
    }

    /// The address at which other hosts reach this one: `advertise`, or else `peer`.
    pub fn advertised(&self) -> SocketAddr {
        self.host.advertise.unwrap_or(self.host.peer)
    }
}

impl Host {
    /// The region of each domain that `regions` names.
    pub fn region_table(&self) -> Regions {
        let named = self.regions.iter();
        Regions::new(named.map(|(domain, region)| (domain.as_str(), region.as_str())))
    }
}

impl Schedule {
    /// The rules for the schedulers that this host runs.
    pub fn rules(&self) -> Rules {
        Rules {
            late_reserve: self.late_reserve_percent as f64 / 100.0,
            last_call: Duration::from_millis(self.last_call_ms),
            burst_credit: self.burst_credit_ms as f64 / 1_000.0,
            ..Rules::default()
        }
    }
}

impl Limits {
    /// The target for the time to the first token.
    pub const fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// How long a request may wait for engines.
    pub const fn patience(&self) -> Duration {
        Duration::from_millis(self.patience_ms)
    }
}

fn file_fault(file: &str, reason: String) -> Fault {
    Fault { file: file.to_owned(), section: String::new(), key: String::new(), reason }
}

fn check_sections(file: &str, ini: &Ini, known: &[&str], faults: &mut Vec<Fault>) {
    for (section, properties) in ini {
        let name = section.unwrap_or("");
        if known.contains(&name) || (section.is_none() && properties.is_empty()) {
            continue;
        }
        let reason = format!("unknown section; known sections: {}", known.join(", "));
        let (section, key) = (name.to_owned(), String::new());
        faults.push(Fault { file: file.to_owned(), section, key, reason });
    }
}

/// Formats one line of [`Settings::describe`].
fn describe_key(key: &str, default: Option<&str>, description: &str) -> String {
    let default = match default {
        None => "required".to_owned(),
        Some("") => "default: none".to_owned(),
        Some(text) => format!("default: {text}"),
    };
    format!("  {key:<22} {description} ({default})\n")
}
