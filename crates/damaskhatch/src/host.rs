//! Starts the servers and control actors of a host and shuts them down gracefully.

use std::convert::Infallible;
use std::future::ready;
use std::io;
use std::net::TcpListener;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix::Arbiter;
use actix_http::HttpService;
use actix_server::Server;
use actix_service::{ServiceFactoryExt as _, fn_service, map_config};
use actix_web::dev::{AppConfig, Extensions, ServerHandle};
use actix_web::middleware::from_fn;
use actix_web::rt::net::TcpStream;
use actix_web::{App, HttpResponse, HttpServer, web};
use damaskhatch_exchange::pool::Pool;
use damaskhatch_policy::config::Snapshot;
use damaskhatch_policy::freshness::Freshness;
use damaskhatch_policy::limit;
use damaskhatch_policy::prelude::{Instant, Tag};
use damaskhatch_policy::registry::Registry;
use damaskhatch_policy::strike::Ledger;
use damaskhatch_policy::tenure;
use damaskhatch_store::era;
use damaskhatch_wire::frame::{Codec, wall_ms};
use tokio::sync::{Notify, watch};

use crate::control::configuration::{Archive, respond};
use crate::control::membership::initial_view;
use crate::control::{Control, Publishers};
use crate::decision::Journal;
use crate::deployment::Deployment;
use crate::entry::closing::Closing;
use crate::entry::gate::{self, Gated};
use crate::entry::refuser::Refuser;
use crate::entry::{self, Entry, closed, unread};
use crate::listeners::{Listeners, bind_operator};
use crate::memory::Budgets;
use crate::metrics::Metrics;
use crate::operator::{self, Operator};
use crate::peers::{Datagrams, Outbox, serve};
use crate::relay::{self, load::Loads};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::signals::{Event, Signals};
use crate::stop::{self, Stop};
use crate::supervise::spawn_lasting;
use crate::upstream::statement::{Availability, Speeds};

/// The time between the end of the last requests and the end of a draining host, in which the responses are
/// sent.
const END_TIME: Duration = Duration::from_millis(250);
/// The time for closing connections after everything else has ended or the time for it is up.
const CLOSE_TIME: Duration = Duration::from_millis(100);
/// How long a connection takes at most from the HTTP server's listener to the worker that serves it.
const HANDOFF_TIME: Duration = Duration::from_millis(100);
/// How long a draining host waits for other hosts to take over its bucket slots.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long after its start a host reports that it is not ready because no host holds any
/// bucket slot of its domain.
const HOLDER_GRACE: Duration = Duration::from_secs(4);
/// How long an idle connection from a caller is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// How long the HTTP server waits for the end of a connection that it closes.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a host until it receives a stop signal or an operator's drain, and has drained.
pub async fn run(
    settings: Settings,
    deployment: Deployment,
    mut signals: Signals,
) -> io::Result<()> {
    let listeners = tokio::select! {
        listeners = Listeners::bind(&settings.host) => listeners?,
        () = wait_for_stop(&mut signals, &settings) => {
            log::info!("event=stopped host={} started=false", settings.host.name);
            return Ok(());
        }
    };
    let incarnation = wall_ms();
    let host = Tag::of(&settings.host.name);
    let (outbox, outgoing) = Outbox::new();
    let (closing, closing_queue) = Closing::new();
    let (config, config_seen) = watch::channel(Arc::new(Snapshot::default()));
    let domain = Tag::of(&settings.host.domain);
    let (view, view_seen) = watch::channel(Arc::new(initial_view(&settings, incarnation)));
    let (registry, registry_seen) = watch::channel(Arc::new(Registry::default()));
    let (freshness, freshness_seen) = watch::channel(Freshness::default());
    let (held_until, held_until_seen) = watch::channel(None);
    let (strikes, strikes_seen) = watch::channel(Arc::new(Ledger::default()));
    let (limits, limits_seen) = watch::channel(Arc::new(limit::Table::default()));
    let shared = Shared {
        host,
        domain,
        incarnation,
        started: tokio::time::Instant::now(),
        outbox,
        closing,
        metrics: Metrics::new(),
        journal: Journal::default(),
        config: config_seen,
        view: view_seen,
        registry: registry_seen,
        freshness: freshness_seen,
        held_until: held_until_seen,
        strikes: strikes_seen,
        limits: limits_seen,
        availability: Availability::default(),
        regions: Arc::new(settings.host.region_table()),
        speeds: Speeds::default(),
        memory: Budgets::new(settings.limits.memory_mb),
        pool: Pool::default(),
        loads: Loads::default(),
        resuming: Loads::default(),
        era: era::Tracker::default(),
        deployment,
        stop: Stop::default(),
        serial: Arc::new(AtomicU64::new(1)),
        settings: Arc::new(settings),
    };
    let settings = Arc::clone(&shared.settings);
    let codec = Arc::new(Mutex::new(Codec::new(&settings.host.secret, host, incarnation)));
    let archive = Arc::new(Mutex::new(Archive::default()));

    let arbiter = Arbiter::new();
    let publishers = Publishers { config, view, registry, freshness, held_until, strikes, limits };
    let control = Control::start(&arbiter, &shared, &codec, &archive, publishers);
    let recipient = control.clone();
    let datagrams = Datagrams {
        socket: listeners.datagrams,
        codec: Arc::clone(&codec),
        host,
        incarnation,
        own_addresses: vec![settings.host.peer, settings.advertised()],
        metrics: shared.metrics.clone(),
        deliver: move |arrival| recipient.deliver(arrival),
    };
    spawn_lasting("closing", &shared.stop, closing_queue.run());
    spawn_lasting("datagrams", &shared.stop, datagrams.run(outgoing));
    let ledger = shared.clone();
    let respond_to_query = move |query| respond(&archive, || ledger.strike_ledger(), query);
    let peers = serve(listeners.peers, codec, shared.metrics.clone(), respond_to_query);
    spawn_lasting("peers", &shared.stop, peers);

    let stop = Arc::new(Notify::new());
    let operator =
        Operator { shared: shared.clone(), control: control.clone(), stop: Arc::clone(&stop) };
    let operators =
        spawn_lasting("operators", &shared.stop, serve_operators(listeners.operator, operator));
    let caller_port = listeners.caller.try_clone()?;
    let caller_server = start_caller_server(listeners.caller, &shared, &control)?;
    if let Some(listener) = listeners.ready {
        start_readiness_server(listener, &shared)?;
    }
    log_start(&settings);
    tokio::select! {
        () = wait_for_stop(&mut signals, &settings) => {}
        () = stop.notified() => log::info!("event=stop_requested by=operator"),
    }
    tokio::select! {
        () = drain(&shared, &caller_server, caller_port) => {}
        never = handle_further_signals(&mut signals, &settings) => match never {},
    }
    operators.abort();
    arbiter.stop();
    log::info!("event=stopped host={}", settings.host.name);
    Ok(())
}

/// Logs the addresses at which a host can be reached.
fn log_start(settings: &Settings) {
    log::info!(
        "event=started host={} domain={} caller={} operator={} peer={}",
        settings.host.name,
        settings.host.domain,
        settings.host.caller,
        settings.host.operator,
        settings.host.peer
    );
}

/// Starts the server that callers connect to.
fn start_caller_server(
    listener: TcpListener,
    shared: &Shared,
    control: &Control,
) -> io::Result<ServerHandle> {
    let settings = &shared.settings;
    let state = web::Data::new(Entry::new(shared.clone(), control.clone()));
    let is_routed = shared.deployment.catalogue.is_some();
    let closing = shared.closing.clone();
    let unread_limit = Duration::from_millis(settings.limits.unread_ms);
    let configure = if is_routed { relay::configure } else { entry::configure };
    let builder = Server::build()
        .workers(settings.host.workers as usize)
        .shutdown_timeout(settings.limits.drain_s)
        .disable_signals();
    let stopping = builder.graceful_shutdown_signal();
    let heads = shared.memory.requests.clone();
    let refused = shared.metrics.refused_heads.clone();
    let factory = move || {
        let app = App::new()
            .app_data(state.clone())
            .wrap(from_fn(unread::close_after_response))
            .wrap(from_fn(unread::wait_for_caller))
            .wrap(from_fn(gate::close_while_served))
            .configure(configure);
        let (closing, stopping) = (closing.clone(), stopping.clone());
        let service = HttpService::build()
            .graceful_shutdown_signal(move || {
                let stopping = stopping.clone();
                async move { stopping.notified().await }
            })
            .keep_alive(KEEP_ALIVE)
            .client_request_timeout(gate::HEAD_TIMEOUT)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            .on_connect_ext(move |connection: &Gated<TcpStream>, data: &mut Extensions| {
                closed::on_connect(connection.stream(), data, &closing, unread_limit);
                data.insert(connection.gate().clone());
            })
            .h1(map_config(app, |()| AppConfig::default()));
        let (heads, refused) = (heads.clone(), refused.clone());
        fn_service(move |stream: TcpStream| {
            let address = stream.peer_addr().ok();
            ready(Ok((Gated::new(stream, heads.share(), refused.clone()), address)))
        })
        .and_then(service)
    };
    let server = builder.listen("callers", listener, factory)?.run();
    let handle = server.handle();
    spawn_lasting("callers", &shared.stop, server);
    Ok(handle)
}

/// Starts the server of the readiness path for load balancers.
fn start_readiness_server(listener: TcpListener, shared: &Shared) -> io::Result<()> {
    let path = shared.settings.host.ready_path.clone();
    let state = web::Data::new(shared.clone());
    let server = HttpServer::new(move || {
        App::new().app_data(state.clone()).route(&path, web::get().to(readiness))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    spawn_lasting("readiness", &shared.stop, server);
    Ok(())
}

/// Whether some host holds a bucket slot of this domain, or the grace period is over.
///
/// Requests that need a charge are refused while no host of the domain holds a slot, so a load
/// balancer should send them to a host of a domain that has a holder. The host reports ready after
/// [`HOLDER_GRACE`] all the same, because open routes and teams without a rate need no holder.
fn can_charge(shared: &Shared) -> bool {
    let now = tokio::time::Instant::now();
    let hosts = shared.hosts();
    let has_holder = |slot| hosts.slot_holder(shared.domain, slot, now).is_some();
    (0..tenure::SLOTS).any(has_holder) || now >= shared.started + HOLDER_GRACE
}

/// Reports ready while the host has a configuration, is not draining and can charge requests.
async fn readiness(shared: web::Data<Shared>) -> HttpResponse {
    let is_ready = !shared.is_draining() && shared.snapshot().revision > 0 && can_charge(&shared);
    if is_ready { HttpResponse::Ok().finish() } else { HttpResponse::ServiceUnavailable().finish() }
}

/// Serves operators until the host has stopped, once their port is free.
async fn serve_operators(listener: Option<TcpListener>, operator: Operator) -> io::Result<()> {
    let address = operator.shared.settings.host.operator;
    let listener = match listener {
        Some(listener) => listener,
        None => bind_operator(address).await?,
    };
    let state = web::Data::new(operator);
    HttpServer::new(move || App::new().app_data(state.clone()).configure(operator::configure))
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run()
        .await
}

/// Waits for a signal that stops the host, and handles all others meanwhile.
async fn wait_for_stop(signals: &mut Signals, settings: &Settings) {
    loop {
        match signals.next().await {
            Event::Stop(signal) => {
                return log::info!("event=stop_requested by={signal}");
            }
            event => handle(event, settings),
        }
    }
}

/// Handles the signals that arrive while the host stops.
async fn handle_further_signals(signals: &mut Signals, settings: &Settings) -> Infallible {
    loop {
        handle(signals.next().await, settings);
    }
}

/// Handles a signal that does not begin to stop the host.
fn handle(event: Event, settings: &Settings) {
    match event {
        Event::Stop(signal) => log::info!("event=signal_ignored signal={signal} reason=stopping"),
        Event::Reload => check_reload(settings),
        Event::Ignored(signal) => {
            log::info!("event=signal_ignored signal={signal} reason=no_meaning");
        }
    }
}

/// Checks the settings file again.
///
/// The addresses that a process binds and the secret that it trusts are fixed at its start, so
/// changes are only checked and logged here; they take effect at the next start.
fn check_reload(running: &Settings) {
    match Settings::load(&running.file) {
        Ok(settings) if settings == *running => log::info!("event=reload result=unchanged"),
        Ok(_changed) => log::warn!("event=reload result=changed effect=next_start"),
        Err(faults) => {
            faults.iter().for_each(|fault| log::error!("event=reload result=bad {fault}"));
        }
    }
}

/// Drains the host: it takes no new roles, keeps serving for `notice_ms` so that load balancers
/// see the readiness change, then waits until every request has ended, and refuses new ones on
/// `caller_port`, a duplicate of the server's listener.
///
/// All of it takes `drain_s` at most.
async fn drain(shared: &Shared, caller_server: &ServerHandle, caller_port: TcpListener) {
    let limits = &shared.settings.limits;
    let time = Duration::from_secs(limits.drain_s);
    log::info!("event=draining in_flight={}", shared.metrics.in_flight.get());
    let end = shared.stop.begin(time) + END_TIME;
    let notice = Duration::from_millis(limits.notice_ms);
    tokio::time::sleep(stop::notice_time(notice, time)).await;
    caller_server.pause().await;
    let refuser = Refuser::start(caller_port, shared);
    // A worker that stops drops the connections that wait for it.
    tokio::time::sleep(HANDOFF_TIME).await;
    let stopping = caller_server.stop(true);
    tokio::pin!(stopping);
    loop {
        tokio::select! {
            () = &mut stopping => break,
            () = tokio::time::sleep_until(end) => {
                let in_flight = shared.metrics.in_flight.get();
                log::warn!("event=drain_incomplete in_flight={in_flight} time_s={}", limits.drain_s);
                break;
            }
            () = tokio::time::sleep(Duration::from_secs(1)) => {
                let in_flight = shared.metrics.in_flight.get();
                log::info!("event=draining in_flight={in_flight}");
            }
        }
    }
    // Teams lose no tokens when slots are handed over; a takeover after the host has stopped
    // would cost them some.
    let handover_deadline = (Instant::now() + HANDOVER_TIMEOUT).min(end);
    while shared.metrics.slots_held.get() > 0 && Instant::now() < handover_deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // The process must not exit before engines have confirmed its cancellations.
    while shared.metrics.cancels_open.get() > 0 && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let closed = end + CLOSE_TIME;
    match refuser {
        Ok(refuser) => refuser.finish(closed).await,
        Err(error) => log::error!("event=no_refusals error={error}"),
    }
    shared.closing.finish(closed).await;
}
