//! A stand-in for a model engine: continuous batching, prefix cache, KV transfer.

mod decode;
mod http;
mod prefill;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{App, HttpServer, web};
use damaskhatch_policy::sheet::Role;
use tokio::time::sleep;

pub use http::Stats;
pub use state::Engine;

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The phase it runs.
    pub role: Role,
    /// Requests that decode at once.
    pub slots: u32,
    /// Memory pieces of 2,000 tokens.
    pub pieces: u32,
    /// Prompt tokens per second.
    pub prefill_rate: f64,
    /// Time between tokens of a single request.
    pub gap: Duration,
    /// What each further request adds to the time between tokens.
    pub gap_per_request: Duration,
    /// Tokens of KV cache per second over the link.
    pub link_rate: f64,
    /// How long an exported KV cache is kept.
    pub kv_ttl: Duration,
    /// How late the load report is.
    pub report_lag: Duration,
    /// Prompt blocks of 256 tokens that the prefix cache holds.
    pub cache_blocks: usize,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
}

/// A prompt with this mark kills the engine that prefills it.
pub const CRASH_MARK: &str = "CRASH-ENGINE";
/// A prompt with this mark kills the engine that decodes it.
pub const CRASH_DECODE_MARK: &str = "CRASH-DECODE";
/// The exit code of a crashed engine.
const CRASH_CODE: i32 = 137;

/// Runs an engine until the process ends.
pub async fn run(config: Config) -> io::Result<()> {
    let listen = config.listen;
    let lag = config.report_lag;
    let engine = Arc::new(Engine::new(config));
    let reporter = Arc::clone(&engine);
    actix_web::rt::spawn(async move {
        loop {
            let load = reporter.load_now();
            sleep(lag).await;
            reporter.publish(load);
        }
    });
    let expirer = Arc::clone(&engine);
    actix_web::rt::spawn(async move {
        loop {
            sleep(Duration::from_millis(20)).await;
            expirer.expire();
        }
    });
    let data = web::Data::from(engine);
    HttpServer::new(move || App::new().app_data(data.clone()).configure(http::configure))
        .workers(1)
        .bind(listen)?
        .run()
        .await
}
