//! The operators' command line, a client of the operator port of any host.

pub mod args;
pub mod call;
pub mod keys;
pub mod quarantine;
pub mod report;
pub mod sheets;
pub mod timeline;

use args::{Command, KeyCommand, Options, QuarantineCommand, SheetCommand};
use call::Error;

/// Exit code for a command that was carried out.
pub const EXIT_DONE: u8 = 0;
/// Exit code for a command that was refused, or that not every host confirmed in time.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code if no host could be reached.
pub const EXIT_UNREACHABLE: u8 = 3;

/// Runs one command, prints its result or error, and returns the exit code.
pub async fn run(options: Options) -> u8 {
    let hosts = &options.hosts;
    let done = match options.command {
        Command::Sheet(SheetCommand::Check { file }) => sheets::check(&file),
        Command::Sheet(SheetCommand::Diff { file }) => sheets::diff(hosts, &file).await,
        Command::Sheet(SheetCommand::Accept { base, allow_drop, file }) => {
            sheets::accept(hosts, &file, base, allow_drop).await
        }
        Command::Key(KeyCommand::Issue { team }) => keys::issue(hosts, team).await,
        Command::Key(KeyCommand::Withdraw { wait_s, key }) => {
            keys::withdraw(hosts, key, wait_s).await
        }
        Command::Key(KeyCommand::List) => keys::list(hosts).await,
        Command::Quarantine(QuarantineCommand::List) => quarantine::list(hosts).await,
        Command::Quarantine(QuarantineCommand::Lift { fingerprint }) => {
            quarantine::lift(hosts, fingerprint).await
        }
        Command::Status { json } => report::status(hosts, json).await,
        Command::Explain { logs, request } if logs.is_empty() => {
            report::explain(hosts, &request).await
        }
        Command::Explain { logs, request } => report::explain_logs(&logs, &request),
        Command::Drain => report::drain(hosts).await,
    };
    match done {
        Ok(()) => EXIT_DONE,
        Err(Error::Refused(reason)) => {
            eprintln!("{reason}");
            EXIT_REFUSED
        }
        Err(Error::Unreachable(reason)) => {
            eprintln!("{reason}");
            EXIT_UNREACHABLE
        }
    }
}
