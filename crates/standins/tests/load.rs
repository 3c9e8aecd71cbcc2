//! The load generator, run as a process, reports right responses and refusals.

mod common;

use std::process::Command;

use common::{program, start_proxied};
use damaskhatch_standins::fleet::{MODEL, SERVICE};

#[actix_web::test]
async fn the_load_generator_counts_right_responses_and_fails_on_refusals() {
    let fleet = start_proxied(|_| {}).await;
    let run = |key: &str| {
        let mut command = Command::new(program());
        command.args(["load", "--model", MODEL, "--service", SERVICE, "--requests", "60"]);
        command.args(["--key", key, "--output", "10"]);
        for target in fleet.caller_addresses() {
            command.arg("--target").arg(target.to_string());
        }
        actix_web::web::block(move || command.output().expect("the program runs"))
    };
    let succeeded = run(&fleet.keys["release"]).await.expect("the thread ends");
    let text = String::from_utf8_lossy(&succeeded.stdout);
    assert!(succeeded.status.success(), "{text}");
    assert!(text.starts_with("sent=60 right=60 wrong=0 refused=0 broken=0"), "{text}");
    let refused = run("dh_nonsense").await.expect("the thread ends");
    assert!(!refused.status.success());
    assert!(String::from_utf8_lossy(&refused.stderr).contains("401 unauthenticated not-run"));
}
