//! The command-line arguments of `damaskhatch`, and the parsing that the daemon shares.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, OptionParser, ParseFailure};

/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;
/// The width to which help and error messages are wrapped, in columns.
const LINE_WIDTH: usize = 100;

/// Parses the arguments of the operators' tool from a list that excludes the program's name.
pub fn parse_list(arguments: &[String]) -> Result<Options, ExitCode> {
    parse_from(options(), Args::from(arguments))
}

/// Parses the arguments of the process.
///
/// On failure or a request for help, prints the message and returns the exit code.
pub fn parse<T>(parser: OptionParser<T>) -> Result<T, ExitCode> {
    parse_from(parser, Args::current_args())
}

#[expect(clippy::needless_pass_by_value, reason = "a parser is built to be used once")]
fn parse_from<T>(parser: OptionParser<T>, arguments: Args<'_>) -> Result<T, ExitCode> {
    parser.run_inner(arguments).map_err(|failure| {
        failure.print_message(LINE_WIDTH);
        match failure {
            ParseFailure::Stderr(_) => ExitCode::from(EXIT_USAGE),
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
        }
    })
}

/// Manages a damaskhatch fleet through the operator port of any of its hosts.
///
/// Exit codes: 0 done; 1 refused, or not confirmed by every domain; 2 invalid arguments;
/// 3 no host reachable.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Operator port of a host, IP:PORT; repeat to name several, which are tried in order
    #[bpaf(
        long("host"),
        env("DAMASKHATCH_HOST"),
        argument("IP:PORT"),
        fallback(String::from("127.0.0.1:7001")),
        many
    )]
    pub hosts: Vec<String>,
    /// Command to run
    #[bpaf(external)]
    pub command: Command,
}

/// The available commands.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Check, compare and accept sheets
    #[bpaf(command("sheet"))]
    Sheet(#[bpaf(external(sheet_command))] SheetCommand),
    /// Issue, withdraw and list keys
    #[bpaf(command("key"))]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// List the requests that are refused for crashing upstreams, and let one run again
    #[bpaf(command("quarantine"))]
    Quarantine(#[bpaf(external(quarantine_command))] QuarantineCommand),
    /// Show the fleet as one host sees it
    #[bpaf(command("status"))]
    Status {
        /// Print JSON for machines
        json: bool,
    },
    /// Show the decisions on a request, from the given hosts' memory or from log files
    #[bpaf(command("explain"))]
    Explain {
        /// Log file to read instead of querying hosts; - for standard input; several are merged
        #[bpaf(long("log"), argument("FILE"), many)]
        logs: Vec<PathBuf>,
        /// Request id, as in the x-request-id header
        #[bpaf(positional("REQUEST-ID"))]
        request: String,
    },
    /// Stop the first given host gracefully, after its streams have ended
    #[bpaf(command("drain"))]
    Drain,
}

/// A command on a sheet.
#[derive(Debug, Clone, Bpaf)]
pub enum SheetCommand {
    /// List all faults of a sheet by line, without contacting a host
    #[bpaf(command("check"))]
    Check {
        /// Sheet as a CSV file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what a sheet would change, and the revision to pass to accept as --base
    #[bpaf(command("diff"))]
    Diff {
        /// Sheet as a CSV file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a sheet in force on all hosts
    #[bpaf(command("accept"))]
    Accept {
        /// Revision that diff compared the sheet with
        #[bpaf(argument("REV"))]
        base: u64,
        /// Accept the sheet even if it drops more than 20 percent of the teams
        allow_drop: bool,
        /// Sheet as a CSV file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// A command on quarantined requests.
#[derive(Debug, Clone, Bpaf)]
pub enum QuarantineCommand {
    /// List each request's fingerprint, the seconds left and the crashed upstreams
    #[bpaf(command("list"))]
    List,
    /// Clear a request's strikes on all hosts, so that it may run again
    #[bpaf(command("lift"))]
    Lift {
        /// Fingerprint, as printed by list and in the log
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: String,
    },
}

/// A command on keys.
#[derive(Debug, Clone, Bpaf)]
pub enum KeyCommand {
    /// Issue a key for a team; it is shown only once
    #[bpaf(command("issue"))]
    Issue {
        /// Team name
        #[bpaf(positional("TEAM"))]
        team: String,
    },
    /// Withdraw a key permanently and report which domains confirmed
    #[bpaf(command("withdraw"))]
    Withdraw {
        /// Time to wait for confirmations, in seconds
        #[bpaf(argument("SECONDS"), fallback(5), display_fallback)]
        wait_s: u64,
        /// Key, or its digest as printed by list
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// List all keys with their digests, states and teams
    #[bpaf(command("list"))]
    List,
}
