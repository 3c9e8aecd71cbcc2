//! The demo, and every process of a fleet that it and the tests start.
//!
//! `damaskhatch-demo tool ...` is the operators' tool, so that tests need one program only.

use std::io;
use std::process::ExitCode;
use std::time::Duration;

use damaskhatch::cli::args::parse_list;
use damaskhatch::settings::Settings;
use damaskhatch_standins::args::{Part, part};
use damaskhatch_standins::{demo, engine, load, platform, service, slopes};

#[actix_web::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Some(("tool", rest)) = arguments.split_first().map(|(a, rest)| (a.as_str(), rest)) {
        return match parse_list(rest) {
            Ok(options) => ExitCode::from(damaskhatch::cli::run(options).await),
            Err(code) => code,
        };
    }
    let part = part().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn"))
        .format_timestamp_millis()
        .init();
    match run(part).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(part: Part) -> io::Result<()> {
    match part {
        Part::Engine(args) => engine::run(args.into()).await,
        Part::Service { listen } => service::run(listen).await,
        Part::Platform { listen } => platform::run(listen).await,
        Part::Daemon { settings } => {
            let settings = Settings::load(&settings).map_err(|faults| {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                io::Error::other(lines.join("\n"))
            })?;
            damaskhatch::host::run(settings, damaskhatch::deployment::Deployment::OWN).await
        }
        Part::Load(args) => {
            let report = load::run(args.into()).await;
            println!("{}", report.summary());
            if report.right == report.sent {
                return Ok(());
            }
            let others = report.wrong.iter().chain(&report.refused).chain(&report.broken);
            let others: Vec<String> = others.take(20).cloned().collect();
            Err(io::Error::other(others.join("\n")))
        }
        Part::Latency { requests } => demo::latency(requests).await,
        Part::Slopes { seconds } => slopes::run(Duration::from_secs(seconds)).await,
        Part::Demo => demo::run().await,
    }
}
