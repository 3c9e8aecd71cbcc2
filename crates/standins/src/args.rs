//! The command line of `damaskhatch-demo`, which can run as any process of a test fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use damaskhatch_policy::sheet::Role;

use crate::engine::Config;
use crate::load::Plan;

/// Starts a fleet on loopback, sends requests, prints responses and decisions, and exits.
///
/// With a command it runs as one process of such a fleet, or as a benchmark, instead.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, fallback(Command::Demo))]
pub enum Command {
    /// Run a stand-in for a model engine
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine))] Engine),
    /// Run a stand-in for a plain service
    #[bpaf(command("service"))]
    Service {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
    },
    /// Run a stand-in for the platform
    #[bpaf(command("platform"))]
    Platform {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
    },
    /// Run a host exactly as damaskhatchd does
    #[bpaf(command("daemon"))]
    Daemon {
        /// Settings file in INI form
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Send requests, check every response, print counts and latencies
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load))] Load),
    /// Measure the latency that a host adds to direct engine calls
    #[bpaf(command("latency"))]
    Latency {
        /// Requests on each path, direct and through a host
        #[bpaf(argument("N"), fallback(400), display_fallback)]
        requests: u64,
    },
    /// Measure the resources that hosts use as fleet and teams grow
    #[bpaf(command("slopes"))]
    Slopes {
        /// Length of the idle phase, in seconds
        #[bpaf(argument("S"), fallback(10), display_fallback)]
        seconds: u64,
    },
    /// Measure how a fleet recovers from a restore of the store from an older copy
    #[bpaf(command("restores"))]
    Restores {
        /// Hosts in each of the three domains; may be given several times
        #[bpaf(argument("N"), some("at least one --hosts is needed"))]
        hosts: Vec<usize>,
    },
    /// Run the demo, as without a command
    #[bpaf(command("demo"))]
    Demo,
}

/// Options of the load generator.
#[derive(Debug, Clone, Bpaf)]
pub struct Load {
    /// Caller port of a host; repeat to spread requests over several
    #[bpaf(argument("IP:PORT"), some("at least one target is needed"))]
    pub target: Vec<SocketAddr>,
    /// API key of a team; repeat to use several at random
    #[bpaf(argument("KEY"), some("at least one key is needed"))]
    pub key: Vec<String>,
    /// Model of the completions
    #[bpaf(argument("NAME"))]
    pub model: String,
    /// Plain service that every fourth request calls
    #[bpaf(argument("NAME"), optional)]
    pub service: Option<String>,
    /// Total number of requests
    #[bpaf(argument("N"), fallback(1_000), display_fallback)]
    pub requests: u64,
    /// Concurrent requests at each target
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    pub in_flight: usize,
    /// Largest prompt, in tokens
    #[bpaf(argument("TOKENS"), fallback(2_000), display_fallback)]
    pub prompt: u32,
    /// Largest output limit, in tokens
    #[bpaf(argument("TOKENS"), fallback(60), display_fallback)]
    pub output: u32,
    /// Seed of the random choices
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

/// Options of a stand-in engine.
#[derive(Debug, Clone, Bpaf)]
pub struct Engine {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Role: prefill, decode or both
    #[bpaf(argument::<String>("ROLE"), parse(parse_role))]
    pub role: Role,
    /// Requests that are decoded concurrently
    #[bpaf(argument("N"), fallback(20))]
    pub slots: u32,
    /// Memory for KV caches, in pieces of 2,000 tokens
    #[bpaf(argument("N"), fallback(200))]
    pub pieces: u32,
    /// Prefill speed, in prompt tokens per second
    #[bpaf(argument("RATE"), fallback(20_000.0))]
    pub prefill_rate: f64,
    /// Time between tokens of a single request, in microseconds
    #[bpaf(argument("MICROS"), fallback(4_000))]
    pub gap_us: u64,
    /// Time that each further request adds to it, in microseconds
    #[bpaf(argument("MICROS"), fallback(300))]
    pub gap_per_request_us: u64,
    /// Speed of KV cache transfers, in tokens per second
    #[bpaf(argument("RATE"), fallback(500_000.0))]
    pub link_rate: f64,
    /// Time that an exported KV cache is kept, in milliseconds
    #[bpaf(argument("MS"), fallback(800))]
    pub kv_life_ms: u64,
    /// Age of the reported load, in milliseconds
    #[bpaf(argument("MS"), fallback(250))]
    pub report_lag_ms: u64,
    /// Capacity of the prefix cache, in prompt blocks
    #[bpaf(argument("N"), fallback(2_000))]
    pub cache_blocks: usize,
    /// Refuse role orders with a fencing number below the last accepted one
    pub fenced: bool,
}

#[expect(clippy::needless_pass_by_value, reason = "bpaf hands over owned values")]
fn parse_role(text: String) -> Result<Role, String> {
    match text.as_str() {
        "prefill" => Ok(Role::Prefill),
        "decode" => Ok(Role::Decode),
        "both" => Ok(Role::Both),
        _ => Err(format!("role {text:?} is not prefill, decode or both")),
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
