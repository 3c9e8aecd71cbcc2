//! The life of a daemon's process, from its first instruction to its exit code.
//!
//! All daemons share it, so that signals, settings and logs are handled alike.

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use actix_web::rt::System;

use crate::deployment::Deployment;
use crate::host;
use crate::logging;
use crate::settings::Settings;
use crate::signals::{Early, Signals};

/// How long the exit waits until the lines logged before it are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a daemon, whose `start` says with which settings file.
///
/// Nothing must come before it in the process, because signals that come before it end the process.
pub fn main(start: impl FnOnce(&Early) -> ExitCode) -> ExitCode {
    match Early::install() {
        Ok(early) => start(&early),
        Err(error) => no_handlers(&error),
    }
}

/// Runs a host with the settings in this file until it has stopped.
///
/// Exit codes: success if it stopped gracefully, failure for faulty settings or a failed start.
pub fn run(early: &Early, settings: &Path, deployment: Deployment) -> ExitCode {
    System::new().block_on(async {
        let signals = match Signals::install(early) {
            Ok(signals) => signals,
            Err(error) => return no_handlers(&error),
        };
        let settings = match Settings::load(settings) {
            Ok(settings) => settings,
            Err(faults) => {
                faults.iter().for_each(|fault| eprintln!("{fault}"));
                return ExitCode::FAILURE;
            }
        };
        let log = logging::init();
        let code = end_code(host::run(settings, deployment, signals).await);
        log.flush(FLUSH_TIMEOUT);
        code
    })
}

fn end_code(result: io::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=start_failed error={error}");
            ExitCode::FAILURE
        }
    }
}

fn no_handlers(error: &io::Error) -> ExitCode {
    eprintln!("cannot install the signal handlers: {error}");
    ExitCode::FAILURE
}
