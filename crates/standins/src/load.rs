//! A load generator that checks every answer byte for byte.

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

/// How long one request may take in all.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
/// The largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// The longest time that histograms tell apart, in microseconds.
const MAX_RECORDED_MICROS: u64 = 120_000_000;

/// What is sent.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Caller ports, used in turn.
    pub targets: Vec<SocketAddr>,
    /// The model; empty if only the plain service is called.
    pub model: String,
    /// The plain service, if calls to one are mixed in.
    pub service: Option<String>,
    /// Keys, drawn at random.
    pub keys: Vec<String>,
    /// Requests in all.
    pub requests: u64,
    /// Requests in flight at each target.
    pub in_flight: usize,
    /// The smallest and largest prompt, in tokens.
    pub prompt_tokens: (u32, u32),
    /// The smallest and largest output limit, in tokens.
    pub output_tokens: (u32, u32),
    /// The seed.
    pub seed: u64,
}

/// What came back.
#[derive(Debug)]
pub struct Report {
    /// Requests sent.
    pub sent: u64,
    /// Answers that were whole and right.
    pub right: u64,
    /// Answers with other content than the request's own.
    pub wrong: Vec<String>,
    /// Refusals by their code.
    pub refused: Vec<String>,
    /// Connections that broke.
    pub broken: Vec<String>,
    /// Time to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub gap: Histogram<u64>,
    /// Time of whole requests, in microseconds.
    pub whole: Histogram<u64>,
    /// How long it took.
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
            whole: histogram(),
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
        self.whole += other.whole;
    }

    /// One line with the main figures.
    pub fn summary(&self) -> String {
        let ms =
            |histogram: &Histogram<u64>, part| histogram.value_at_quantile(part) as f64 / 1_000.0;
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
            ms(&self.whole, 0.5),
            ms(&self.whole, 0.99),
        )
    }
}

/// Sends all requests of a plan and checks all answers.
pub async fn run(plan: Plan) -> Report {
    let started = Instant::now();
    let next = Arc::new(AtomicU64::new(0));
    let mut lanes = Vec::new();
    for lane in 0..plan.targets.len() * plan.in_flight {
        let (plan, next) = (plan.clone(), Arc::clone(&next));
        lanes.push(actix_web::rt::spawn(async move { run_lane(&plan, lane, &next).await }));
    }
    let mut report = Report::default();
    for lane in lanes {
        match lane.await {
            Ok(part) => report.merge(part),
            Err(error) => report.broken.push(format!("the lane ended: {error}")),
        }
    }
    report.elapsed = started.elapsed();
    report
}

async fn run_lane(plan: &Plan, lane: usize, next: &AtomicU64) -> Report {
    let client = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let target = plan.targets[lane % plan.targets.len()];
    let mut report = Report::default();
    loop {
        let serial = next.fetch_add(1, Ordering::Relaxed);
        if serial >= plan.requests {
            return report;
        }
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed.wrapping_add(serial));
        let case = Case::draw(plan, serial, &mut rng);
        report.sent += 1;
        let started = Instant::now();
        let ran = timeout(REQUEST_TIMEOUT, case.run(&client, target, &mut report)).await;
        report.whole.saturating_record(started.elapsed().as_micros() as u64);
        match ran {
            Ok(Ok(())) => report.right += 1,
            Ok(Err(Fault::Wrong(what))) => report.wrong.push(what),
            Ok(Err(Fault::Refused(what))) => report.refused.push(what),
            Ok(Err(Fault::Broken(what))) => report.broken.push(what),
            Err(_elapsed) => report.broken.push(format!("{serial}: no end in time")),
        }
    }
}

/// Why a request did not get its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The answer has other content.
    Wrong(String),
    /// A refusal with a status and a code.
    Refused(String),
    /// The connection broke.
    Broken(String),
}

#[derive(Debug)]
enum Shape {
    Stream,
    Whole,
    Plain(String),
}

/// One request.
#[derive(Debug)]
struct Case {
    shape: Shape,
    model: String,
    key: String,
    serial: u64,
    prompt: String,
    max_tokens: u32,
}

impl Case {
    fn draw(plan: &Plan, serial: u64, rng: &mut Pcg64Mcg) -> Self {
        let (low, high) = plan.prompt_tokens;
        let tokens = rng.random_range(low..=high);
        let (low, high) = plan.output_tokens;
        let kind = if plan.model.is_empty() { 3 } else { serial % 4 };
        let shape = match (kind, &plan.service) {
            (3, Some(service)) => Shape::Plain(service.clone()),
            (1, _) => Shape::Whole,
            _ => Shape::Stream,
        };
        Self {
            shape,
            model: plan.model.clone(),
            key: plan.keys[rng.random_range(0..plan.keys.len())].clone(),
            serial,
            prompt: prompt(serial, plan.seed, tokens),
            max_tokens: rng.random_range(low..=high),
        }
    }

    async fn run(
        &self,
        client: &awc::Client,
        target: SocketAddr,
        report: &mut Report,
    ) -> Result<(), Fault> {
        match &self.shape {
            Shape::Stream => self.stream(client, target, report).await,
            Shape::Whole => self.whole(client, target).await,
            Shape::Plain(service) => self.plain(client, target, service).await,
        }
    }

    fn body(&self, stream: bool) -> Value {
        let (model, prompt) = (&self.model, &self.prompt);
        json!({ "model": model, "prompt": prompt, "max_tokens": self.max_tokens, "stream": stream })
    }

    async fn whole(&self, client: &awc::Client, target: SocketAddr) -> Result<(), Fault> {
        let request = client
            .post(format!("http://{target}/v1/completions"))
            .bearer_auth(&self.key)
            .send_json(&self.body(false));
        let mut response = request.await.map_err(broken)?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await.map_err(broken)?;
        if !response.status().is_success() {
            return Err(refused(response.status().as_u16(), &body));
        }
        let value: Value = serde_json::from_slice(&body).map_err(broken)?;
        let text = value["choices"][0]["text"].as_str().unwrap_or("");
        self.compare(text)
    }

    async fn stream(
        &self,
        client: &awc::Client,
        target: SocketAddr,
        report: &mut Report,
    ) -> Result<(), Fault> {
        let started = Instant::now();
        let request = client
            .post(format!("http://{target}/v1/completions"))
            .bearer_auth(&self.key)
            .send_json(&self.body(true));
        let mut response = request.await.map_err(broken)?;
        if !response.status().is_success() {
            let body = response.body().limit(MAX_ANSWER_BYTES).await.map_err(broken)?;
            return Err(refused(response.status().as_u16(), &body));
        }
        let mut events = Events::default();
        let mut last: Option<Instant> = None;
        while let Some(chunk) = response.next().await {
            events.push(&chunk.map_err(broken)?);
            while let Some(event) = events.pop() {
                let Some(text) = events.take_text(&event)? else {
                    continue;
                };
                if text.is_empty() {
                    continue;
                }
                let now = Instant::now();
                match last.replace(now) {
                    None => {
                        report.first_token.saturating_record((now - started).as_micros() as u64);
                    }
                    Some(before) => report.gap.saturating_record((now - before).as_micros() as u64),
                }
            }
        }
        if !events.ended {
            return Err(Fault::Broken(format!("{}: the stream has no end", self.serial)));
        }
        self.compare(&events.text)
    }

    async fn plain(
        &self,
        client: &awc::Client,
        target: SocketAddr,
        service: &str,
    ) -> Result<(), Fault> {
        let call = format!("call-{}", self.serial);
        let request = client
            .post(format!("http://{target}/services/{service}/book"))
            .bearer_auth(&self.key)
            .insert_header((CALL_HEADER, call.clone()))
            .send_body(self.prompt.clone());
        let mut response = request.await.map_err(broken)?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await.map_err(broken)?;
        if !response.status().is_success() {
            return Err(refused(response.status().as_u16(), &body));
        }
        let value: Value = serde_json::from_slice(&body).map_err(broken)?;
        if value["call"] != call || value["body"] != self.prompt {
            return Err(Fault::Wrong(format!("{}: another call's answer", self.serial)));
        }
        Ok(())
    }

    fn compare(&self, text: &str) -> Result<(), Fault> {
        if text == completion::text(&self.prompt, self.max_tokens) {
            return Ok(());
        }
        let found: String = text.chars().take(80).collect();
        Err(Fault::Wrong(format!("{}: {found:?}", self.serial)))
    }
}

/// A prompt of `tokens` tokens that no other serial or seed has.
pub fn prompt(serial: u64, seed: u64, tokens: u32) -> String {
    let mut prompt = format!("request {seed}/{serial}: ");
    let wanted = tokens as usize * completion::BYTES_PER_TOKEN;
    let mut index = 0;
    while prompt.len() < wanted {
        prompt.push_str(&completion::token(&prompt[..12.min(prompt.len())], index));
        index += 1;
    }
    prompt.truncate(wanted.max(format!("request {seed}/{serial}: ").len()));
    prompt
}

/// Parses a stream of SSE events.
#[derive(Debug, Default)]
pub struct Events {
    buffer: Vec<u8>,
    /// The text so far.
    pub text: String,
    /// Whether the end marker came.
    pub ended: bool,
}

impl Events {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event's data.
    pub fn pop(&mut self) -> Option<String> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let rest = self.buffer.split_off(end + 2);
        let event = std::mem::replace(&mut self.buffer, rest);
        let text = String::from_utf8_lossy(&event).into_owned();
        Some(text.trim_start_matches("data: ").trim_end().to_owned())
    }

    /// Adds an event's text to the answer and returns it.
    pub fn take_text(&mut self, event: &str) -> Result<Option<String>, Fault> {
        if event == "[DONE]" {
            self.ended = true;
            return Ok(None);
        }
        let value: Value = serde_json::from_str(event).map_err(broken)?;
        if value.get("error").is_some() {
            return Err(refused(200, event.as_bytes()));
        }
        let text = value["choices"][0]["text"].as_str().unwrap_or("").to_owned();
        self.text.push_str(&text);
        Ok(Some(text))
    }
}

fn broken(error: impl std::fmt::Display) -> Fault {
    Fault::Broken(error.to_string())
}

fn refused(status: u16, body: &[u8]) -> Fault {
    let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let code = value["error"]["code"].as_str().unwrap_or("?");
    let outcome = value["error"]["outcome"].as_str().unwrap_or("?");
    Fault::Refused(format!("{status} {code} {outcome}"))
}
