//! The cases that are scripts: stand-ins of the platform, its engines and its clients around the
//! project's own program.

mod endless;
mod engine;
mod gone;
mod host;
mod http;
mod json;
mod leaving;
mod overlap;
mod record;
mod store;
mod takeup;

use std::process::ExitCode;

/// What a case found.
pub enum Found {
    Held,
    Broken,
    CouldNotRun(String),
}

/// A case with its folder, and whether it plays the disruption.
pub struct Case {
    pub folder: String,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|word| word == "engine-of-leaving") {
        leaving::engine_process(&words[1..]);
    }
    let mut words = words.into_iter();
    let (name, folder) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let scratch = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let case = Case { folder, has_trouble };
    let scratch_text = scratch.to_string_lossy().into_owned();
    // A case that ends in a panic has shown nothing.
    let played = std::panic::catch_unwind(|| match name.as_str() {
        "endless" => endless::run(&case, &scratch_text),
        "takeup" => takeup::run(&case, &scratch_text),
        "gone" => gone::run(&case, &scratch_text),
        "leaving" => leaving::run(&case, &scratch_text),
        "overlap" => overlap::run(&case, &scratch_text),
        other => Found::CouldNotRun(format!("there is no case {other:?}")),
    });
    let found = played.unwrap_or_else(|_panic| Found::CouldNotRun("a panic".to_owned()));
    let keep = std::env::var_os("KEEP_LOGS").is_some();
    if !keep {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    match found {
        Found::Held => ExitCode::from(0),
        Found::Broken => ExitCode::from(1),
        Found::CouldNotRun(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}

/// A configuration with a plain and a model service and one tenant, in the figures of the site file.
pub fn config(version: u64) -> String {
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 timeout: u64,
                 slo: u64,
                 attempts: u32,
                 resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"app.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"slo_ms\":{slo},\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"anonymous\":false,\"sticky\":false,\"resumable\":{resumable}}}"
        )
    };
    let routes = [
        route("booking", "non_idempotent", "app", 2_000, 300, 1, false),
        route("lookup", "idempotent", "app", 2_000, 300, 2, false),
        route("check", "streaming", "model", 14_000, 900, 1, false),
        route("summary", "streaming", "model", 14_000, 900, 2, true),
    ];
    let engine = "{\"slots\":12,\"kv_capacity\":80233,\"token_bytes\":35136,\"stride\":72,\
        \"kv_ttl_s\":0.5,\"reconfig_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}";
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":96}},\
         {{\"name\":\"model\",\"health_path\":\"/health\",\"max_conns\":150,\"engine\":{engine}}}],\
         \"limits\":{{\"header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka\",\"api_keys\":[\"{KEY}\"],\"unit\":\"token_stream\",\
         \"plain_tokens\":200,\"rate_per_s\":100000,\"burst\":100000}}]}}",
        routes.join(",")
    )
}

pub const KEY: &str = "3d3zji9n73hh2b9wu3fe";

/// A client's request; `extra` has further header lines, each with its line end.
pub fn request(path: &str, id: &str, deadline_ms: u64, extra: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Token {KEY}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
