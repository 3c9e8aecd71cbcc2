//! The operators' tool against a running fleet.

mod common;

use std::process::Command;
use std::time::Duration;

use common::{complete, program, start_proxied};
use damaskhatch_standins::engine::CRASH_DECODE_MARK;
use damaskhatch_standins::fleet::Fleet;
use tokio::time::sleep;

struct Output {
    code: i32,
    text: String,
}

/// Runs the tool against the first host, or against all hosts.
async fn run_tool(fleet: &Fleet, all: bool, arguments: &[&str]) -> Output {
    let mut command = Command::new(program());
    command.arg("tool");
    for host in fleet.hosts.iter().take(if all { fleet.hosts.len() } else { 1 }) {
        command.arg("--host").arg(host.operator.to_string());
    }
    command.args(arguments);
    let run = actix_web::web::block(move || command.output()).await;
    let output = run.expect("the thread ends").expect("the tool runs");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).expect("the tool prints text");
    Output { code: output.status.code().unwrap_or(-1), text }
}

fn assert_output(output: &Output, code: i32, expected: &[&str]) {
    assert_eq!(output.code, code, "{}", output.text);
    for text in expected {
        assert!(output.text.contains(text), "{text:?} is missing in\n{}", output.text);
    }
}

#[actix_web::test]
async fn a_sheet_is_checked_compared_and_accepted_and_a_stale_base_is_refused() {
    let fleet = start_proxied(|_| {}).await;
    let folder = std::env::temp_dir().join(format!("damaskhatch-tool-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let file = folder.join("new.csv");
    let path = file.to_str().expect("the path is text").to_owned();
    let sheet = fleet.sheet.replace("team;audit;;1000000", "team;audit;;900000");
    std::fs::write(&file, &sheet).expect("the sheet is written");
    assert_output(&run_tool(&fleet, false, &["sheet", "check", &path]).await, 0, &["no fault"]);
    let diff = run_tool(&fleet, false, &["sheet", "diff", &path]).await;
    assert_output(&diff, 0, &["changed  team audit", "1 changes against revision 3"]);
    let accepted = run_tool(&fleet, false, &["sheet", "accept", "--base", "3", &path]).await;
    assert_output(&accepted, 0, &["accepted as revision 4", "in force on 6 of 6 live hosts"]);
    let stale = run_tool(&fleet, false, &["sheet", "accept", "--base", "3", &path]).await;
    assert_output(&stale, 1, &["revision 4 was accepted first"]);
    // A truncated export lacks one of the two teams.
    let line = sheet.lines().position(|line| line.starts_with("team;audit")).expect("the team");
    let kept =
        sheet.lines().enumerate().filter(|(at, text)| *at != line && !text.contains("grant;audit"));
    let truncated: String = kept.map(|(_, text)| text.to_owned() + "\n").collect();
    std::fs::write(&file, &truncated).expect("the sheet is written");
    let refused = run_tool(&fleet, false, &["sheet", "accept", "--base", "4", &path]).await;
    assert_output(&refused, 1, &["drops 1 of 2 teams"]);
    std::fs::write(&file, sheet.replace("domain;bern-a", "domian;bern-a")).expect("written");
    let faulty = run_tool(&fleet, false, &["sheet", "accept", "--base", "4", &path]).await;
    assert_output(&faulty, 1, &["line 2", "\"domian\" is not one of"]);
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

#[actix_web::test]
async fn keys_status_and_explain_show_the_state_of_the_hosts() {
    let fleet = start_proxied(|_| {}).await;
    let issued = run_tool(&fleet, false, &["key", "issue", "audit"]).await;
    assert_output(&issued, 0, &["dh_", "shown only now"]);
    assert_output(
        &run_tool(&fleet, false, &["key", "issue", "nobody"]).await,
        1,
        &["no such team"],
    );
    let key = issued.text.lines().find(|line| line.starts_with("dh_")).expect("the key").to_owned();
    sleep(Duration::from_secs(1)).await;
    let response =
        complete(fleet.caller_addresses()[3], &key, "hello", 2).await.expect("a response");
    assert_eq!(response.status, 200, "{}", response.body);
    let request = response.header("x-request-id").to_owned();
    let explained = run_tool(&fleet, true, &["explain", &request]).await;
    assert_output(
        &explained,
        0,
        &["event=grant", "prefill=upstream", "decode=upstream", "wait_ms="],
    );
    assert_output(
        &run_tool(&fleet, true, &["explain", "req-0-0-0"]).await,
        1,
        &["no given host remembers"],
    );
    let withdrawn = run_tool(&fleet, false, &["key", "withdraw", &key]).await;
    assert_output(&withdrawn, 0, &["bern-a", "confirmed", "2 of 2 hosts"]);
    assert_output(
        &run_tool(&fleet, false, &["key", "list"]).await,
        0,
        &["withdrawn  audit", "good       audit"],
    );
    let status = run_tool(&fleet, false, &["status"]).await;
    assert_output(&status, 0, &["bern-a-host-0 at revision", "solothurn-c", "alive"]);
    assert_output(
        &run_tool(&fleet, false, &["status", "--json"]).await,
        0,
        &["\"in_flight\"", "\"hosts\""],
    );
    // A domain that a withdrawal cannot reach is named, and the exit code is not 0.
    fleet.set_domain_partition("olten-b", true);
    fleet.set_platform_partition(true, |host| host.domain == "olten-b");
    let unconfirmed =
        run_tool(&fleet, false, &["key", "withdraw", "--wait-s", "1", &fleet.keys["release"]])
            .await;
    assert_output(&unconfirmed, 1, &["olten-b", "NOT CONFIRMED", "may still work"]);
}

#[actix_web::test]
async fn quarantined_requests_are_listed_and_lifted() {
    let fleet = start_proxied(|plan| plan.decodes_per_domain = 3).await;
    assert_output(&run_tool(&fleet, false, &["quarantine", "list"]).await, 0, &[]);
    let prompt = format!("{CRASH_DECODE_MARK} list this");
    for host in 0..3 {
        let target = fleet.caller_addresses()[host];
        complete(target, &fleet.keys["audit"], &prompt, 5).await.expect("a response");
    }
    let listed = run_tool(&fleet, false, &["quarantine", "list"]).await;
    assert_output(&listed, 0, &["-decode-", " s  "]);
    let fingerprint = listed.text.split(' ').next().expect("a fingerprint").to_owned();
    let lifted = run_tool(&fleet, false, &["quarantine", "lift", &fingerprint]).await;
    assert_output(&lifted, 0, &["strikes cleared"]);
    assert_output(
        &run_tool(&fleet, false, &["quarantine", "lift", &fingerprint]).await,
        1,
        &["knows no strikes"],
    );
    let empty = run_tool(&fleet, false, &["quarantine", "list"]).await;
    assert!(empty.text.is_empty(), "{}", empty.text);
}
