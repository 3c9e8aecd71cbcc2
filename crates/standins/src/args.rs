//! The arguments of `damaskhatch-demo`, which can be any process of a test fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use damaskhatch_policy::sheet::Role;

use crate::engine::Config;
use crate::load::Plan;

/// Starts a fleet on loopback, sends requests, prints answers and decisions, and ends.
///
/// With a command it is one process of such a fleet instead.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, fallback(Part::Demo))]
pub enum Part {
    /// A stand-in for a model engine
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine))] Engine),
    /// A stand-in for a plain service
    #[bpaf(command("service"))]
    Service {
        /// Where it listens
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
    },
    /// A stand-in for the platform
    #[bpaf(command("platform"))]
    Platform {
        /// Where it listens
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
    },
    /// A host, exactly as damaskhatchd runs it
    #[bpaf(command("daemon"))]
    Daemon {
        /// Settings file, INI
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Send requests, check every answer, print what came back
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load))] Load),
    /// Measure the latency that a host adds to a direct call
    #[bpaf(command("latency"))]
    Latency {
        /// Requests each way
        #[bpaf(argument("N"), fallback(400), display_fallback)]
        requests: u64,
    },
    /// Measure what hosts cost as fleet and teams grow
    #[bpaf(command("slopes"))]
    Slopes {
        /// Seconds per stretch
        #[bpaf(argument("S"), fallback(10), display_fallback)]
        seconds: u64,
    },
    /// The demo, which is also what runs without a command
    #[bpaf(command("demo"))]
    Demo,
}

/// What the load generator sends.
#[derive(Debug, Clone, Bpaf)]
pub struct Load {
    /// Caller port of a host; give several to use them in turn
    #[bpaf(argument("IP:PORT"), some("at least one target is needed"))]
    pub target: Vec<SocketAddr>,
    /// Key of a team; give several to draw from them
    #[bpaf(argument("KEY"), some("at least one key is needed"))]
    pub key: Vec<String>,
    /// Model that is asked
    #[bpaf(argument("NAME"))]
    pub model: String,
    /// Plain service that every fourth request goes to
    #[bpaf(argument("NAME"), optional)]
    pub service: Option<String>,
    /// Requests in all
    #[bpaf(argument("N"), fallback(1_000), display_fallback)]
    pub requests: u64,
    /// Requests in flight at each target
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    pub in_flight: usize,
    /// The longest prompt, in tokens
    #[bpaf(argument("TOKENS"), fallback(2_000), display_fallback)]
    pub prompt: u32,
    /// The most output tokens
    #[bpaf(argument("TOKENS"), fallback(60), display_fallback)]
    pub output: u32,
    /// Seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
}

impl From<Load> for Plan {
    fn from(args: Load) -> Self {
        Self {
            targets: args.target,
            model: args.model,
            service: args.service,
            keys: args.key,
            requests: args.requests,
            in_flight: args.in_flight,
            prompt_tokens: (20.min(args.prompt), args.prompt),
            output_tokens: (1, args.output),
            seed: args.seed,
        }
    }
}

/// How an engine behaves.
#[derive(Debug, Clone, Bpaf)]
pub struct Engine {
    /// Where it listens
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// prefill, decode or both
    #[bpaf(argument::<String>("ROLE"), parse(role))]
    pub role: Role,
    /// Requests that decode at once
    #[bpaf(argument("N"), fallback(20))]
    pub slots: u32,
    /// Memory pieces of 2,000 tokens
    #[bpaf(argument("N"), fallback(200))]
    pub pieces: u32,
    /// Prompt tokens per second
    #[bpaf(argument("RATE"), fallback(20_000.0))]
    pub prefill_rate: f64,
    /// Time between tokens of a single request, in microseconds
    #[bpaf(argument("MICROS"), fallback(4_000))]
    pub gap_us: u64,
    /// What each further request adds to it, in microseconds
    #[bpaf(argument("MICROS"), fallback(300))]
    pub gap_per_request_us: u64,
    /// Tokens of KV cache per second over the link
    #[bpaf(argument("RATE"), fallback(500_000.0))]
    pub link_rate: f64,
    /// How long an exported KV cache is kept, in milliseconds
    #[bpaf(argument("MS"), fallback(800))]
    pub kv_life_ms: u64,
    /// How late the load report is, in milliseconds
    #[bpaf(argument("MS"), fallback(250))]
    pub report_lag_ms: u64,
    /// Prompt blocks that the prefix cache holds
    #[bpaf(argument("N"), fallback(2_000))]
    pub cache_blocks: usize,
    /// Refuse orders with an old fencing number
    pub fenced: bool,
}

#[expect(clippy::needless_pass_by_value, reason = "bpaf hands over owned values")]
fn role(text: String) -> Result<Role, String> {
    match text.as_str() {
        "prefill" => Ok(Role::Prefill),
        "decode" => Ok(Role::Decode),
        "both" => Ok(Role::Both),
        _ => Err(format!("{text:?} is not prefill, decode or both")),
    }
}

impl From<Engine> for Config {
    fn from(args: Engine) -> Self {
        Self {
            listen: args.listen,
            role: args.role,
            slots: args.slots,
            pieces: args.pieces,
            prefill_rate: args.prefill_rate,
            gap: Duration::from_micros(args.gap_us),
            gap_per_request: Duration::from_micros(args.gap_per_request_us),
            link_rate: args.link_rate,
            kv_ttl: Duration::from_millis(args.kv_life_ms),
            report_lag: Duration::from_millis(args.report_lag_ms),
            cache_blocks: args.cache_blocks,
            fenced: args.fenced,
        }
    }
}
