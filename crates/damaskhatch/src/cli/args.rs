//! The arguments of `damaskhatch`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, OptionParser, ParseFailure};

/// The arguments cannot be understood.
const EXIT_USAGE: u8 = 2;
/// Columns of a terminal line that messages are wrapped to.
const LINE_WIDTH: usize = 100;

/// Parses the arguments of the operators' tool from a list, without the program's name.
pub fn parse_list(arguments: &[String]) -> Result<Options, ExitCode> {
    parse_from(options(), Args::from(arguments))
}

/// Parses the process's arguments, or prints help or a message and names the exit code.
pub fn parse<T>(parser: OptionParser<T>) -> Result<T, ExitCode> {
    parse_from(parser, Args::current_args())
}

#[expect(clippy::needless_pass_by_value, reason = "a parser is made to be used once")]
fn parse_from<T>(parser: OptionParser<T>, arguments: Args<'_>) -> Result<T, ExitCode> {
    parser.run_inner(arguments).map_err(|failure| {
        failure.print_message(LINE_WIDTH);
        match failure {
            ParseFailure::Stderr(_) => ExitCode::from(EXIT_USAGE),
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
        }
    })
}

/// Drives a damaskhatch fleet through the operator port of any of its hosts.
///
/// Exit codes: 0 done; 1 refused, or not confirmed by every domain; 2 wrong usage;
/// 3 no host reachable.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Operator port of a host, IP:PORT; several are tried in turn
    #[bpaf(
        long("host"),
        env("DAMASKHATCH_HOST"),
        argument("IP:PORT"),
        fallback(String::from("127.0.0.1:7001")),
        many
    )]
    pub hosts: Vec<String>,
    /// What to do
    #[bpaf(external)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Check, compare and accept sheets
    #[bpaf(command("sheet"))]
    Sheet(#[bpaf(external(sheet_command))] SheetCommand),
    /// Issue, withdraw and list keys
    #[bpaf(command("key"))]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Show the fleet as one host sees it
    #[bpaf(command("status"))]
    Status {
        /// Print JSON for machines
        json: bool,
    },
    /// Show the decisions on a request that the given hosts remember, or that logs tell of
    #[bpaf(command("explain"))]
    Explain {
        /// Log of a host to read instead of asking hosts; - for standard input; several are merged
        #[bpaf(long("log"), argument("FILE"), many)]
        logs: Vec<PathBuf>,
        /// Request id, as in the x-request-id header
        #[bpaf(positional("REQUEST-ID"))]
        request: String,
    },
    /// Stop the first given host gracefully: it finishes every stream first
    #[bpaf(command("drain"))]
    Drain,
}

/// What to do with a sheet.
#[derive(Debug, Clone, Bpaf)]
pub enum SheetCommand {
    /// List every fault of a sheet by line; nothing is sent
    #[bpaf(command("check"))]
    Check {
        /// CSV file as exported
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what a sheet would change, and the revision to accept it on
    #[bpaf(command("diff"))]
    Diff {
        /// CSV file as exported
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a sheet in force everywhere
    #[bpaf(command("accept"))]
    Accept {
        /// Revision that the sheet was compared with
        #[bpaf(argument("REV"))]
        base: u64,
        /// Accept even if many teams are dropped
        allow_drop: bool,
        /// CSV file as exported
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// What to do with keys.
#[derive(Debug, Clone, Bpaf)]
pub enum KeyCommand {
    /// Issue a key for a team; it is shown only once
    #[bpaf(command("issue"))]
    Issue {
        /// Team name
        #[bpaf(positional("TEAM"))]
        team: String,
    },
    /// Withdraw a key for good and report which domains confirmed
    #[bpaf(command("withdraw"))]
    Withdraw {
        /// Seconds to wait for confirmations
        #[bpaf(argument("SECONDS"), fallback(5), display_fallback)]
        wait_s: u64,
        /// Key, or its digest from the list
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// List keys by digest
    #[bpaf(command("list"))]
    List,
}
