//! The daemon that runs on every host that callers connect to.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use damaskhatch::cli::args::parse;
use damaskhatch::deployment::Deployment;
use damaskhatch::host;
use damaskhatch::logging;
use damaskhatch::settings::Settings;

/// Exit code for faulty settings or a failed start.
const EXIT_FAILED: u8 = 1;

/// Routes callers' requests to engines and services; runs on every host that callers connect to.
///
/// Exit codes: 0 stopped gracefully; 1 faulty settings or an address in use; 2 invalid
/// arguments. SIGTERM stops gracefully. `RUST_LOG` sets the log level, such as `RUST_LOG=info`.
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
