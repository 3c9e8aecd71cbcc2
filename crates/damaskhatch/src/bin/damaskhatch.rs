//! The operators' command-line tool; see [`damaskhatch::cli`].

use std::process::ExitCode;

use damaskhatch::cli::args::parse;

#[actix_web::main]
async fn main() -> ExitCode {
    let options = match parse(damaskhatch::cli::args::options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    ExitCode::from(damaskhatch::cli::run(options).await)
}
