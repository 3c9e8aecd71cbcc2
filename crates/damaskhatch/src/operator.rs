//! The operators' HTTP interface, which the `damaskhatch` tool calls.

use std::collections::HashSet;

use actix_web::{HttpResponse, web};
use damaskhatch_policy::config::Head;
use damaskhatch_policy::position::Position;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::sheet;
use damaskhatch_store::error::Error;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::control::Control;
use crate::control::configuration::{Accept, GetConfirmations, GetRows, Issue, Withdraw};
use crate::diff;
use crate::entry::access::digest;
use crate::shared::Shared;

/// The fraction of the teams that a sheet may drop without `allow_drop`.
const MAX_DROPPED_FRACTION: f64 = 0.2;
/// The largest sheet, in bytes.
const MAX_SHEET_BYTES: usize = 64 << 20;

/// The state shared by the handlers of the operator port.
#[derive(Debug, Clone)]
pub struct Operator {
    /// The host's shared state.
    pub shared: Shared,
    /// The addresses of the control actors.
    pub control: Control,
    /// Notified to stop the process gracefully.
    pub stop: std::sync::Arc<tokio::sync::Notify>,
}

/// The body of `/v1/status`: one host and its view of the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The host's name.
    pub name: String,
    /// The configuration revision in force; 0 before the first.
    pub revision: u64,
    /// Whether the host is draining.
    pub draining: bool,
    /// The number of requests in flight.
    pub in_flight: i64,
    /// All hosts that it knows, itself included.
    pub hosts: Vec<HostStatus>,
    /// The names of the sheet's domains that have a share.
    pub domains: Vec<String>,
    /// The names of the domains that operators have evacuated, as the host knows.
    #[serde(default)]
    pub evacuated: Vec<String>,
    /// The names of the upstreams that are cold, as the host knows.
    #[serde(default)]
    pub cold: Vec<String>,
}

/// A host as seen by the host that responds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host's tag.
    pub host: String,
    /// The domain's name, or its tag if the sheet does not list it.
    pub domain: String,
    /// The peer address.
    pub address: String,
    /// Whether heartbeats from it still arrive; always true for the host itself.
    pub alive: bool,
    /// Whether it has announced that it is draining.
    pub leaving: bool,
    /// The configuration revision in force there.
    pub revision: u64,
    /// The number of bucket slots that it holds.
    pub slots: u32,
    /// The era of the store that it has announced; 0 if it has seen no restore.
    #[serde(default)]
    pub era: u64,
}

/// The progress of a key's withdrawal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Withdrawal {
    /// The digest of the withdrawn key.
    pub digest: String,
    /// The confirmations by domain, for the domains that have a share.
    pub domains: Vec<DomainConfirmation>,
    /// Whether the withdrawal is saved in the platform's store.
    pub saved: bool,
}

/// How many hosts of a domain confirmed a withdrawal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DomainConfirmation {
    /// The domain's name.
    pub domain: String,
    /// The number of hosts that confirmed.
    pub confirmed: usize,
    /// The number of hosts known in the domain.
    pub known: usize,
}

/// The query parameters of `/v1/sheet/accept`.
#[derive(Debug, Deserialize)]
pub struct SheetQuery {
    /// The revision that the operator compared the sheet with.
    #[serde(default)]
    pub base: u64,
    /// Identifies this write, so that a retried request is recognised as already done.
    #[serde(default)]
    pub operation: String,
    /// Whether more than 20 percent of the teams may be dropped.
    #[serde(default)]
    pub allow_drop: bool,
}

/// The body of `/v1/keys/issue`.
#[derive(Debug, Serialize, Deserialize)]
pub struct IssueBody {
    /// The team's name.
    pub team: String,
    /// Identifies this write, so that a retried request is recognised as already done.
    pub operation: String,
}

/// The body of `/v1/keys/withdraw`.
#[derive(Debug, Serialize, Deserialize)]
pub struct WithdrawBody {
    /// The key as issued, or its digest.
    pub key: String,
}

/// Adds the routes of the operator port.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_SHEET_BYTES))
        .route("/ready", web::get().to(ready))
        .route("/metrics", web::get().to(metrics))
        .route("/v1/status", web::get().to(status))
        .route("/v1/explain/{request}", web::get().to(explain))
        .route("/v1/sheet/check", web::post().to(check))
        .route("/v1/sheet/diff", web::post().to(diff_sheet))
        .route("/v1/sheet/accept", web::post().to(accept))
        .route("/v1/keys", web::get().to(keys))
        .route("/v1/keys/issue", web::post().to(issue))
        .route("/v1/keys/withdraw", web::post().to(withdraw))
        .route("/v1/keys/withdrawn/{digest}", web::get().to(withdrawn))
        .route("/v1/drain", web::post().to(drain))
        .configure(crate::quarantine::configure);
}

/// Reports ready while the host has a configuration and is not draining.
async fn ready(operator: web::Data<Operator>) -> HttpResponse {
    let revision = operator.shared.snapshot().revision;
    let body = json!({ "revision": revision, "draining": operator.shared.is_draining() });
    if revision == 0 || operator.shared.is_draining() {
        return HttpResponse::ServiceUnavailable().json(body);
    }
    HttpResponse::Ok().json(body)
}

async fn metrics(operator: web::Data<Operator>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body(operator.shared.metrics.render())
}

async fn status(operator: web::Data<Operator>) -> HttpResponse {
    let shared = &operator.shared;
    let (snapshot, view, now) = (shared.snapshot(), shared.hosts(), Instant::now());
    let (limits, registry) = (shared.known_limits(), shared.upstreams());
    let is_cold: HashSet<Tag> = limits.cold.cold(now).collect();
    let cold = registry.entries().filter(|(_, entry)| is_cold.contains(&entry.tag));
    let cold = cold.map(|(_, entry)| entry.instance.clone()).collect();
    let evacuated: Vec<Tag> = shared.availability.lock().evacuations.domains().collect();
    let others = view.members().map(|member| (&member.record, member.is_alive(now)));
    let all = std::iter::once((&view.own, true)).chain(others);
    let mut hosts: Vec<HostStatus> = all
        .map(|(record, alive)| HostStatus {
            host: record.host.to_string(),
            domain: shared.domain_name(record.domain),
            address: record.address.to_string(),
            alive,
            leaving: record.is_leaving,
            revision: record.revision,
            slots: record.slots.count_ones(),
            era: Position::of(record.epoch).era,
        })
        .collect();
    hosts.sort_by(|a, b| (&a.domain, &a.address).cmp(&(&b.domain, &b.address)));
    HttpResponse::Ok().json(Status {
        name: shared.settings.host.name.clone(),
        revision: snapshot.revision,
        draining: shared.is_draining(),
        in_flight: shared.metrics.in_flight.get(),
        hosts,
        domains: snapshot
            .domains
            .iter()
            .filter(|(_, domain)| domain.share > 0.0)
            .map(|(_, domain)| domain.name.clone())
            .collect(),
        evacuated: evacuated.into_iter().map(|domain| shared.domain_name(domain)).collect(),
        cold,
    })
}

async fn explain(operator: web::Data<Operator>, request: web::Path<String>) -> HttpResponse {
    HttpResponse::Ok().json(operator.shared.journal.explain(&request))
}

fn reject_sheet(faults: &[sheet::Fault]) -> HttpResponse {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    HttpResponse::UnprocessableEntity().json(json!({ "faults": lines }))
}

async fn check(body: web::Bytes) -> HttpResponse {
    match sheet::parse(&body) {
        Ok(rows) => HttpResponse::Ok().json(json!({ "rows": rows.len() })),
        Err(found) => reject_sheet(&found),
    }
}

async fn diff_sheet(operator: web::Data<Operator>, body: web::Bytes) -> HttpResponse {
    let rows = match sheet::parse(&body) {
        Ok(rows) => rows,
        Err(found) => return reject_sheet(&found),
    };
    match operator.control.configuration.send(GetRows).await {
        Ok(current) => {
            let changes = diff::changes(&current.rows, &rows);
            HttpResponse::Ok().json(json!({ "base": current.revision, "changes": changes }))
        }
        Err(_restarting) => unavailable("the configuration actor is restarting; try again"),
    }
}

async fn accept(
    operator: web::Data<Operator>,
    query: web::Query<SheetQuery>,
    body: web::Bytes,
) -> HttpResponse {
    let rows = match sheet::parse(&body) {
        Ok(rows) => rows,
        Err(found) => return reject_sheet(&found),
    };
    let Ok(current) = operator.control.configuration.send(GetRows).await else {
        return unavailable("the configuration actor is restarting; try again");
    };
    let dropped = diff::dropped_teams(&current.rows, &rows);
    if dropped.fraction > MAX_DROPPED_FRACTION && !query.allow_drop {
        let reason = format!(
            "the sheet drops {} of {} teams; use --allow-drop if this is intended",
            dropped.count, dropped.total
        );
        return HttpResponse::UnprocessableEntity().json(json!({ "faults": [reason] }));
    }
    let SheetQuery { base, operation, .. } = query.into_inner();
    let written = operator.control.configuration.send(Accept { rows, base, operation }).await;
    write_response(written)
}

/// Responds to a write to the configuration with its new revision or the reason of the failure.
fn write_response(written: Result<Result<Head, Error>, actix::MailboxError>) -> HttpResponse {
    match written {
        Ok(Ok(head)) => HttpResponse::Ok().json(json!({ "revision": head.revision })),
        Ok(Err(Error::Superseded(revision))) => HttpResponse::Conflict().json(json!({
            "error": format!("revision {revision} was accepted first; compare the sheet again"),
            "revision": revision,
        })),
        Ok(Err(Error::Missing)) => HttpResponse::NotFound()
            .json(json!({ "error": "there is no such team in the configuration" })),
        Ok(Err(error)) => unavailable(&error.to_string()),
        Err(_restarting) => unavailable("the configuration actor is restarting; try again"),
    }
}

/// The response while a part of the host cannot answer.
pub fn unavailable(reason: &str) -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(json!({ "error": reason }))
}

async fn keys(operator: web::Data<Operator>) -> HttpResponse {
    let snapshot = operator.shared.snapshot();
    let issued = snapshot.keys().map(|(digest, team)| {
        let team = &snapshot.teams[team].name;
        let withdrawn = snapshot.withdrawn().any(|other| other == digest);
        json!({ "digest": digest, "team": team, "withdrawn": withdrawn })
    });
    let mut issued: Vec<_> = issued.collect();
    issued.sort_by_key(ToString::to_string);
    HttpResponse::Ok().json(issued)
}

/// Issues a key; the response is the only place where the key itself appears, since only its
/// digest is stored.
async fn issue(operator: web::Data<Operator>, body: web::Json<IssueBody>) -> HttpResponse {
    let IssueBody { team, operation } = body.into_inner();
    let secret: [u8; 32] = rand::random();
    let key = format!("dh_{}", blake3::Hash::from(secret).to_hex());
    let digest = digest(&key);
    let message = Issue { digest: digest.clone(), team: team.clone(), operation };
    match operator.control.configuration.send(message).await {
        Ok(Ok(head)) => HttpResponse::Ok().json(json!({
            "key": key, "digest": digest, "team": team, "revision": head.revision,
        })),
        written => write_response(written),
    }
}

async fn withdraw(operator: web::Data<Operator>, body: web::Json<WithdrawBody>) -> HttpResponse {
    let key = body.into_inner().key;
    let is_digest = key.len() == 64 && key.bytes().all(|byte| byte.is_ascii_hexdigit());
    let digest = if is_digest { key.to_ascii_lowercase() } else { digest(&key) };
    operator.control.configuration.do_send(Withdraw(digest.clone()));
    withdrawal_response(&operator, digest).await
}

async fn withdrawn(operator: web::Data<Operator>, digest: web::Path<String>) -> HttpResponse {
    withdrawal_response(&operator, digest.into_inner()).await
}

async fn withdrawal_response(operator: &Operator, digest: String) -> HttpResponse {
    let reply = operator.control.configuration.send(GetConfirmations(digest.clone())).await;
    let Ok(confirmations) = reply else {
        return unavailable("the configuration actor is restarting; try again");
    };
    let view = operator.shared.hosts();
    let snapshot = operator.shared.snapshot();
    let records = || view.members().map(|member| &member.record).chain([&view.own]);
    let domains = snapshot.domains.iter().filter(|(_, domain)| domain.share > 0.0);
    let domains = domains.map(|(_, domain)| {
        let hosts: Vec<Tag> =
            records().filter(|r| r.domain == domain.tag).map(|r| r.host).collect();
        DomainConfirmation {
            domain: domain.name.clone(),
            confirmed: hosts.iter().filter(|host| confirmations.hosts.contains(host)).count(),
            known: hosts.len(),
        }
    });
    let domains = domains.collect();
    HttpResponse::Ok().json(Withdrawal { digest, domains, saved: confirmations.is_saved })
}

/// Starts a graceful stop of the host.
async fn drain(operator: web::Data<Operator>) -> HttpResponse {
    operator.stop.notify_one();
    HttpResponse::Accepted().json(json!({ "draining": true }))
}
