//! The daemon that runs on every host that callers connect to.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use damaskhatch::cli::args::parse;
use damaskhatch::daemon;
use damaskhatch::deployment::Deployment;
use damaskhatch::settings::Settings;
use damaskhatch::signals::Early;

/// Routes callers' requests to engines and services; runs on every host that callers connect to.
///
/// Exit codes: 0 stopped gracefully; 1 faulty settings or an address that stays in use; 2 invalid
/// arguments. SIGTERM and SIGINT stop gracefully, SIGHUP checks the settings again. `RUST_LOG` sets
/// the log level, such as `RUST_LOG=info`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Options {
    Run {
        /// Settings file in INI format
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Check the settings and exit
        check: bool,
    },
    ListSettings {
        /// List every section and key of the settings with defaults
        #[bpaf(long("list-settings"), req_flag(()))]
        _list: (),
    },
}

fn main() -> ExitCode {
    daemon::main(start)
}

fn start(early: &Early) -> ExitCode {
    let (path, check) = match parse(options()) {
        Ok(Options::Run { settings, check }) => (settings, check),
        Ok(Options::ListSettings { .. }) => {
            print!("{}", Settings::describe());
            return ExitCode::SUCCESS;
        }
        Err(code) => return code,
    };
    if check { check_settings(&path) } else { daemon::run(early, &path, Deployment::OWN) }
}

/// Prints every fault of a settings file.
fn check_settings(path: &Path) -> ExitCode {
    match Settings::load(path) {
        Ok(_settings) => {
            println!("{}: no fault", path.display());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            ExitCode::FAILURE
        }
    }
}
