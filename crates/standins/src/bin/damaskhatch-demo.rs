//! The demo, and all processes of the fleets that the demo and the tests start.
//!
//! `damaskhatch-demo tool ...` runs the operators' tool, so that tests need only one program.

use std::io;
use std::process::ExitCode;
use std::time::Duration;

use damaskhatch::cli::args::parse_list;
use damaskhatch::settings::Settings;
use damaskhatch::signals::{Early, Signals};
use damaskhatch_standins::args::{Command, command};
use damaskhatch_standins::{demo, engine, load, platform, restores, service, slopes};

/// Failed requests that the load generator prints.
const MAX_PRINTED_FAILURES: usize = 20;

#[actix_web::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Some(("tool", rest)) =
        arguments.split_first().map(|(first, rest)| (first.as_str(), rest))
    {
        return match parse_list(rest) {
            Ok(options) => ExitCode::from(damaskhatch::cli::run(options).await),
            Err(code) => code,
        };
    }
    let command = command().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn"))
        .format_timestamp_millis()
        .init();
    match run(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Engine(args) => engine::run(args.into()).await,
        Command::Service { listen } => service::run(listen).await,
        Command::Platform { listen } => platform::run(listen).await,
        Command::Daemon { settings } => {
            let signals = Signals::install(&Early::default())?;
            let settings = Settings::load(&settings).map_err(|faults| {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                io::Error::other(lines.join("\n"))
            })?;
            damaskhatch::host::run(settings, damaskhatch::deployment::Deployment::OWN, signals)
                .await
        }
        Command::Load(args) => {
            let report = load::run(args.into()).await;
            println!("{}", report.summary());
            if report.right == report.sent {
                return Ok(());
            }
            let failures = report.wrong.iter().chain(&report.refused).chain(&report.broken);
            let failures: Vec<String> = failures.take(MAX_PRINTED_FAILURES).cloned().collect();
            Err(io::Error::other(failures.join("\n")))
        }
        Command::Latency { requests } => demo::measure_latency(requests).await,
        Command::Restores { hosts } => restores::run(&hosts).await,
        Command::Slopes { seconds } => slopes::run(Duration::from_secs(seconds)).await,
        Command::Demo => demo::run().await,
    }
}
