//! A load generator that compares every response byte for byte with the expected one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};

use crate::completion;
use crate::service::CALL_HEADER;

/// Time limit of one request, from sending it to the end of its response.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
/// Size limit of a response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Upper bound of the histograms, in microseconds; a longer time is recorded as this one.
const MAX_RECORDED_MICROS: u64 = 120_000_000;

/// Which requests are sent, where and how many at once.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Caller ports of the hosts; workers are spread over them evenly.
    pub targets: Vec<SocketAddr>,
    /// The model of completions; if empty, every request goes to the plain service.
    pub model: String,
    /// The plain service that every fourth request calls; `None` sends completions only.
    pub service: Option<String>,
    /// API keys; each request uses one of them at random.
    pub keys: Vec<String>,
    /// Total number of requests.
    pub requests: u64,
    /// Concurrent requests at each target.
    pub in_flight: usize,
    /// The smallest and largest prompt, in tokens.
    pub prompt_tokens: (u32, u32),
    /// The smallest and largest output limit, in tokens.
    pub output_tokens: (u32, u32),
    /// Seed of the random choices; equal seeds send equal requests.
    pub seed: u64,
}

/// Results of a run: counts, failures and latencies.
#[derive(Debug)]
pub struct Report {
    /// Requests sent.
    pub sent: u64,
    /// Responses that were complete and had the expected content.
    pub right: u64,
    /// Responses with unexpected content, each with its request's number.
    pub wrong: Vec<String>,
    /// Refusals, each as status, code and outcome.
    pub refused: Vec<String>,
    /// Requests that failed on the connection, timed out or got a malformed response.
    pub broken: Vec<String>,
    /// Time to the first token of a stream, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between the tokens of a stream, in microseconds.
    pub gap: Histogram<u64>,
    /// Time from sending a request to the end of its response, in microseconds.
    pub duration: Histogram<u64>,
    /// Wall-clock time of the run.
    pub elapsed: Duration,
}

impl Default for Report {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, 3).expect("the bounds are legal");
        Self {
            sent: 0,
            right: 0,
            wrong: Vec::new(),
            refused: Vec::new(),
            broken: Vec::new(),
            first_token: histogram(),
            gap: histogram(),
            duration: histogram(),
            elapsed: Duration::ZERO,
        }
    }
}

impl Report {
    fn merge(&mut self, other: Self) {
        self.sent += other.sent;
        self.right += other.right;
        self.wrong.extend(other.wrong);
        self.refused.extend(other.refused);
        self.broken.extend(other.broken);
        self.first_token += other.first_token;
        self.gap += other.gap;
        self.duration += other.duration;
    }

    /// Formats the counts and the main latency quantiles as one line.
    pub fn summary(&self) -> String {
        let ms = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1_000.0;
        format!(
            "sent={} right={} wrong={} refused={} broken={} seconds={:.1} \
             first_token_ms_p50={:.1} p95={:.1} p99={:.1} gap_ms_p50={:.1} p95={:.1} \
             whole_ms_p50={:.1} p99={:.1}",
            self.sent,
            self.right,
            self.wrong.len(),
            self.refused.len(),
            self.broken.len(),
            self.elapsed.as_secs_f64(),
            ms(&self.first_token, 0.5),
            ms(&self.first_token, 0.95),
            ms(&self.first_token, 0.99),
            ms(&self.gap, 0.5),
            ms(&self.gap, 0.95),
            ms(&self.duration, 0.5),
            ms(&self.duration, 0.99),
        )
    }
}

/// Sends all requests of a plan and checks every response.
pub async fn run(plan: Plan) -> Report {
    let started = Instant::now();
    let next = Arc::new(AtomicU64::new(0));
    let mut tasks = Vec::new();
    for worker in 0..plan.targets.len() * plan.in_flight {
        let (plan, next) = (plan.clone(), Arc::clone(&next));
        tasks.push(actix_web::rt::spawn(async move { run_worker(&plan, worker, &next).await }));
    }
    let mut report = Report::default();
    for task in tasks {
        match task.await {
            Ok(partial) => report.merge(partial),
            Err(error) => report.broken.push(format!("worker task failed: {error}")),
        }
    }
    report.elapsed = started.elapsed();
    report
}

async fn run_worker(plan: &Plan, worker: usize, next: &AtomicU64) -> Report {
    let client = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let target = plan.targets[worker % plan.targets.len()];
    let mut report = Report::default();
    loop {
        let serial = next.fetch_add(1, Ordering::Relaxed);
        if serial >= plan.requests {
            return report;
        }
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed.wrapping_add(serial));
        let request = Request::generate(plan, serial, &mut rng);
        report.sent += 1;
        let started = Instant::now();
        let result = timeout(REQUEST_TIMEOUT, request.send(&client, target, &mut report)).await;
        report.duration.saturating_record(started.elapsed().as_micros() as u64);
        match result {
            Ok(Ok(())) => report.right += 1,
            Ok(Err(Failure::Wrong(text))) => report.wrong.push(text),
            Ok(Err(Failure::Refused(text))) => report.refused.push(text),
            Ok(Err(Failure::Broken(text))) => report.broken.push(text),
            Err(_elapsed) => report
                .broken
                .push(format!("{serial}: no complete response within {REQUEST_TIMEOUT:?}")),
        }
    }
}

/// Why a request did not get its expected response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The response has unexpected content.
    Wrong(String),
    /// The request was refused: status, code and outcome.
    Refused(String),
    /// The connection failed, or the response was truncated or malformed.
    Broken(String),
}

#[derive(Debug)]
enum Kind {
    /// A streamed completion.
    Stream,
    /// A completion whose response arrives as one body.
    Buffered,
    /// A call to the named plain service.
    Plain(String),
}

/// One generated request.
#[derive(Debug)]
struct Request {
    kind: Kind,
    model: String,
    key: String,
    serial: u64,
    prompt: String,
    max_tokens: u32,
}

impl Request {
    fn generate(plan: &Plan, serial: u64, rng: &mut Pcg64Mcg) -> Self {
        let (low, high) = plan.prompt_tokens;
        let tokens = rng.random_range(low..=high);
        let (low, high) = plan.output_tokens;
        let remainder = if plan.model.is_empty() { 3 } else { serial % 4 };
        let kind = match (remainder, &plan.service) {
            (3, Some(service)) => Kind::Plain(service.clone()),
            (1, _) => Kind::Buffered,
            _ => Kind::Stream,
        };
        Self {
            kind,
            model: plan.model.clone(),
            key: plan.keys[rng.random_range(0..plan.keys.len())].clone(),
            serial,
            prompt: build_prompt(serial, plan.seed, tokens),
            max_tokens: rng.random_range(low..=high),
        }
    }

    async fn send(
        &self,
        client: &awc::Client,
        target: SocketAddr,
        report: &mut Report,
    ) -> Result<(), Failure> {
        match &self.kind {
            Kind::Stream => self.send_streamed(client, target, report).await,
            Kind::Buffered => self.send_buffered(client, target).await,
            Kind::Plain(service) => self.call_plain(client, target, service).await,
        }
    }

    fn body(&self, stream: bool) -> Value {
        let (model, prompt) = (&self.model, &self.prompt);
        json!({ "model": model, "prompt": prompt, "max_tokens": self.max_tokens, "stream": stream })
    }

    async fn send_buffered(&self, client: &awc::Client, target: SocketAddr) -> Result<(), Failure> {
        let request = client
            .post(format!("http://{target}/v1/completions"))
            .bearer_auth(&self.key)
            .send_json(&self.body(false));
        let mut response = request.await.map_err(broken)?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.map_err(broken)?;
        if !response.status().is_success() {
            return Err(parse_refusal(response.status().as_u16(), &body));
        }
        let value: Value = serde_json::from_slice(&body).map_err(broken)?;
        let text = value["choices"][0]["text"].as_str().unwrap_or("");
        self.check_text(text)
    }

    async fn send_streamed(
        &self,
        client: &awc::Client,
        target: SocketAddr,
        report: &mut Report,
    ) -> Result<(), Failure> {
        let started = Instant::now();
        let request = client
            .post(format!("http://{target}/v1/completions"))
            .bearer_auth(&self.key)
            .send_json(&self.body(true));
        let mut response = request.await.map_err(broken)?;
        if !response.status().is_success() {
            let body = response.body().limit(MAX_RESPONSE_BYTES).await.map_err(broken)?;
            return Err(parse_refusal(response.status().as_u16(), &body));
        }
        let mut events = Events::default();
        let mut last_token_at: Option<Instant> = None;
        while let Some(chunk) = response.next().await {
            events.append_bytes(&chunk.map_err(broken)?);
            while let Some(event) = events.next_event() {
                let Some(text) = events.append_event(&event)? else {
                    continue;
                };
                if text.is_empty() {
                    continue;
                }
                let now = Instant::now();
                match last_token_at.replace(now) {
                    None => {
                        report.first_token.saturating_record((now - started).as_micros() as u64);
                    }
                    Some(before) => report.gap.saturating_record((now - before).as_micros() as u64),
                }
            }
        }
        if !events.has_ended {
            return Err(Failure::Broken(format!("{}: stream ended without [DONE]", self.serial)));
        }
        self.check_text(&events.text)
    }

    async fn call_plain(
        &self,
        client: &awc::Client,
        target: SocketAddr,
        service: &str,
    ) -> Result<(), Failure> {
        let call = format!("call-{}", self.serial);
        let request = client
            .post(format!("http://{target}/services/{service}/book"))
            .bearer_auth(&self.key)
            .insert_header((CALL_HEADER, call.clone()))
            .send_body(self.prompt.clone());
        let mut response = request.await.map_err(broken)?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.map_err(broken)?;
        if !response.status().is_success() {
            return Err(parse_refusal(response.status().as_u16(), &body));
        }
        let value: Value = serde_json::from_slice(&body).map_err(broken)?;
        if value["call"] != call || value["body"] != self.prompt {
            return Err(Failure::Wrong(format!(
                "{}: unexpected call id or body in the response",
                self.serial
            )));
        }
        Ok(())
    }

    fn check_text(&self, text: &str) -> Result<(), Failure> {
        if text == completion::text(&self.prompt, self.max_tokens) {
            return Ok(());
        }
        let found: String = text.chars().take(80).collect();
        Err(Failure::Wrong(format!("{}: unexpected text {found:?}", self.serial)))
    }
}

/// Builds a prompt of about `tokens` tokens that is unique to this serial and seed.
pub fn build_prompt(serial: u64, seed: u64, tokens: u32) -> String {
    let mut prompt = format!("request {seed}/{serial}: ");
    let target_bytes = tokens as usize * completion::BYTES_PER_TOKEN;
    let mut index = 0;
    while prompt.len() < target_bytes {
        prompt.push_str(&completion::token(&prompt[..12.min(prompt.len())], index));
        index += 1;
    }
    prompt.truncate(target_bytes.max(format!("request {seed}/{serial}: ").len()));
    prompt
}

/// Parses a stream of server-sent events.
#[derive(Debug, Default)]
pub struct Events {
    buffer: Vec<u8>,
    /// The text of all events so far.
    pub text: String,
    /// Whether the end marker `[DONE]` was received.
    pub has_ended: bool,
}

impl Events {
    /// Buffers received bytes, which may end in the middle of an event.
    pub fn append_bytes(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event and returns its data, or `None` if none is complete.
    pub fn next_event(&mut self) -> Option<String> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let rest = self.buffer.split_off(end + 2);
        let event = std::mem::replace(&mut self.buffer, rest);
        let text = String::from_utf8_lossy(&event).into_owned();
        Some(text.trim_start_matches("data: ").trim_end().to_owned())
    }

    /// Appends an event's text to [`Self::text`] and returns it; `None` at the end marker.
    pub fn append_event(&mut self, event: &str) -> Result<Option<String>, Failure> {
        if event == "[DONE]" {
            self.has_ended = true;
            return Ok(None);
        }
        let value: Value = serde_json::from_str(event).map_err(broken)?;
        if value.get("error").is_some() {
            return Err(parse_refusal(200, event.as_bytes()));
        }
        let text = value["choices"][0]["text"].as_str().unwrap_or("").to_owned();
        self.text.push_str(&text);
        Ok(Some(text))
    }
}

fn broken(error: impl std::fmt::Display) -> Failure {
    Failure::Broken(error.to_string())
}

fn parse_refusal(status: u16, body: &[u8]) -> Failure {
    let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let code = value["error"]["code"].as_str().unwrap_or("?");
    let outcome = value["error"]["outcome"].as_str().unwrap_or("?");
    Failure::Refused(format!("{status} {code} {outcome}"))
}
