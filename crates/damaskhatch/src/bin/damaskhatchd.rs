//! The daemon that runs on every entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use damaskhatch::cli::args::parse;
use damaskhatch::deployment::Deployment;
use damaskhatch::host;
use damaskhatch::logging;
use damaskhatch::settings::Settings;

/// The settings or the system do not allow the daemon to run.
const EXIT_FAILED: u8 = 1;

/// Routes callers' requests to engines and services; runs on every entry host.
///
/// Exit codes: 0 stopped gracefully; 1 bad settings or an address in use; 2 wrong usage.
/// SIGTERM stops gracefully. Logging is set by `RUST_LOG`, for instance `RUST_LOG=info`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Options {
    Run {
        /// Settings file, INI
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Only check the settings
        check: bool,
    },
    ListSettings {
        /// List every section and key with its default
        #[bpaf(long("list-settings"), req_flag(()))]
        _list: (),
    },
}

fn main() -> ExitCode {
    let (path, check) = match parse(options()) {
        Ok(Options::Run { settings, check }) => (settings, check),
        Ok(Options::ListSettings { .. }) => {
            print!("{}", Settings::describe());
            return ExitCode::SUCCESS;
        }
        Err(code) => return code,
    };
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return ExitCode::from(EXIT_FAILED);
        }
    };
    if check {
        println!("{}: no fault", path.display());
        return ExitCode::SUCCESS;
    }
    logging::init();
    match actix_web::rt::System::new().block_on(host::run(settings, Deployment::OWN)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=start_failed error={error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
