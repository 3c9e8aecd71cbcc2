//! The load generator as a process.

mod common;

use std::process::Command;

use common::{program, proxied};
use damaskhatch_standins::fleet::{MODEL, SERVICE};

#[actix_web::test]
async fn the_load_generator_checks_answers_and_says_so() {
    let fleet = proxied(|_| {}).await;
    let run = |key: &str| {
        let mut command = Command::new(program());
        command.args(["load", "--model", MODEL, "--service", SERVICE, "--requests", "60"]);
        command.args(["--key", key, "--output", "10"]);
        for target in fleet.caller_addresses() {
            command.arg("--target").arg(target.to_string());
        }
        actix_web::web::block(move || command.output().expect("the program runs"))
    };
    let good = run(&fleet.keys["release"]).await.expect("the thread ends");
    let text = String::from_utf8_lossy(&good.stdout);
    assert!(good.status.success(), "{text}");
    assert!(text.starts_with("sent=60 right=60 wrong=0 refused=0 broken=0"), "{text}");
    let bad = run("dh_nonsense").await.expect("the thread ends");
    assert!(!bad.status.success());
    assert!(String::from_utf8_lossy(&bad.stderr).contains("401 unauthenticated not-run"));
}
