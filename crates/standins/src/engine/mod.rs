//! A stand-in for a model engine with continuous batching, a prefix cache and KV transfer.

mod decode;
mod http;
mod prefill;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::middleware::from_fn;
use actix_web::{App, HttpServer, web};
use damaskhatch_policy::sheet::Role;
use tokio::time::sleep;

use crate::extra::{self, Extra};

pub use http::Stats;
pub use state::Engine;

/// The capacity, speed and behaviour of an engine.
#[derive(Debug, Clone)]
pub struct Config {
    /// The address of its HTTP interface.
    pub listen: SocketAddr,
    /// The phase of requests that it runs.
    pub role: Role,
    /// The most requests that decode at once.
    pub slots: u32,
    /// KV memory, in pieces of 2,000 tokens.
    pub pieces: u32,
    /// Speed of prefill, in prompt tokens per second.
    pub prefill_rate: f64,
    /// Time between two tokens of a request that decodes alone.
    pub gap: Duration,
    /// Time that each further request of the batch adds between two tokens.
    pub gap_per_request: Duration,
    /// Speed of KV transfer to other engines, in tokens per second.
    pub link_rate: f64,
    /// How long an exported KV cache is kept for import.
    pub kv_ttl: Duration,
    /// The interval of load reports, which is also the age of each when it becomes visible.
    pub report_lag: Duration,
    /// Capacity of the prefix cache, in prompt blocks of 256 tokens.
    pub cache_blocks: usize,
    /// Whether orders with a fencing number lower than the last are refused.
    pub fenced: bool,
}

/// A prompt that contains this text makes the engine that prefills it exit.
pub const CRASH_MARK: &str = "CRASH-ENGINE";
/// A prompt that contains this text makes the engine that decodes it exit.
pub const CRASH_DECODE_MARK: &str = "CRASH-DECODE";
/// A prompt with this text makes the decode engine send long tokens without end.
pub const ENDLESS_MARK: &str = "ENDLESS";
/// The exit code of a crash, which a shell reports for a process killed by SIGKILL.
pub(crate) const CRASH_CODE: i32 = 137;
/// The interval at which expired exports and cancellations are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Serves an engine's HTTP interface until the process ends.
pub async fn run(config: Config) -> io::Result<()> {
    let listen = config.listen;
    let lag = config.report_lag;
    let engine = Arc::new(Engine::new(config));
    let reporter = Arc::clone(&engine);
    actix_web::rt::spawn(async move {
        loop {
            let load = reporter.current_load();
            sleep(lag).await;
            reporter.publish_load(load);
        }
    });
    let expirer = Arc::clone(&engine);
    actix_web::rt::spawn(async move {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            expirer.remove_expired();
        }
    });
    let data = web::Data::from(engine);
    let extra = web::Data::new(Extra::default());
    let app = move || {
        App::new()
            .app_data(data.clone())
            .app_data(extra.clone())
            .wrap(from_fn(extra::add))
            .configure(extra::configure)
            .configure(http::configure)
    };
    HttpServer::new(app).workers(1).bind(listen)?.run().await
}
