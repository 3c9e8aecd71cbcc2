//! The operators' tool against a running fleet.

mod common;

use std::process::Command;
use std::time::Duration;

use common::{complete, program, proxied};
use damaskhatch_standins::fleet::Fleet;
use tokio::time::sleep;

struct Output {
    code: i32,
    text: String,
}

/// Runs the tool with the first host, or with all of them.
async fn tool(fleet: &Fleet, all: bool, arguments: &[&str]) -> Output {
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

fn contains(output: &Output, code: i32, expected: &[&str]) {
    assert_eq!(output.code, code, "{}", output.text);
    for text in expected {
        assert!(output.text.contains(text), "{text:?} is missing in\n{}", output.text);
    }
}

#[actix_web::test]
async fn a_sheet_goes_from_check_to_force_and_a_stale_base_is_refused() {
    let fleet = proxied(|_| {}).await;
    let folder = std::env::temp_dir().join(format!("damaskhatch-tool-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    let file = folder.join("new.csv");
    let path = file.to_str().expect("the path is text").to_owned();
    let sheet = fleet.sheet.replace("team;audit;;1000000", "team;audit;;900000");
    std::fs::write(&file, &sheet).expect("the sheet is written");
    contains(&tool(&fleet, false, &["sheet", "check", &path]).await, 0, &["no fault"]);
    let diff = tool(&fleet, false, &["sheet", "diff", &path]).await;
    contains(&diff, 0, &["changed  team audit", "1 changes against revision 3"]);
    let accepted = tool(&fleet, false, &["sheet", "accept", "--base", "3", &path]).await;
    contains(&accepted, 0, &["accepted as revision 4", "in force on 6 of 6 live hosts"]);
    let stale = tool(&fleet, false, &["sheet", "accept", "--base", "3", &path]).await;
    contains(&stale, 1, &["revision 4 was accepted first"]);
    // A truncated export drops a team of two.
    let line = sheet.lines().position(|line| line.starts_with("team;audit")).expect("the team");
    let kept =
        sheet.lines().enumerate().filter(|(at, text)| *at != line && !text.contains("grant;audit"));
    let cut: String = kept.map(|(_, text)| text.to_owned() + "\n").collect();
    std::fs::write(&file, &cut).expect("the sheet is written");
    let refused = tool(&fleet, false, &["sheet", "accept", "--base", "4", &path]).await;
    contains(&refused, 1, &["drops 1 of 2 teams"]);
    std::fs::write(&file, sheet.replace("domain;bern-a", "domian;bern-a")).expect("written");
    let faulty = tool(&fleet, false, &["sheet", "accept", "--base", "4", &path]).await;
    contains(&faulty, 1, &["line 2", "\"domian\" is not one of"]);
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
}

#[actix_web::test]
async fn keys_status_and_explain_say_what_is() {
    let fleet = proxied(|_| {}).await;
    let issued = tool(&fleet, false, &["key", "issue", "audit"]).await;
    contains(&issued, 0, &["dh_", "shown only now"]);
    contains(&tool(&fleet, false, &["key", "issue", "nobody"]).await, 1, &["no such team"]);
    let key = issued.text.lines().find(|line| line.starts_with("dh_")).expect("the key").to_owned();
    sleep(Duration::from_secs(1)).await;
    let reply = complete(fleet.caller_addresses()[3], &key, "hello", 2).await.expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.body);
    let request = reply.header("x-request-id").to_owned();
    let explained = tool(&fleet, true, &["explain", &request]).await;
    contains(&explained, 0, &["event=grant", "prefill=upstream", "decode=upstream", "wait_ms="]);
    contains(&tool(&fleet, true, &["explain", "req-0-0-0"]).await, 1, &["no given host remembers"]);
    let withdrawn = tool(&fleet, false, &["key", "withdraw", &key]).await;
    contains(&withdrawn, 0, &["bern-a", "confirmed", "2 of 2 hosts"]);
    contains(
        &tool(&fleet, false, &["key", "list"]).await,
        0,
        &["withdrawn  audit", "good       audit"],
    );
    let status = tool(&fleet, false, &["status"]).await;
    contains(&status, 0, &["bern-a-host-0 at revision", "solothurn-c", "alive"]);
    contains(&tool(&fleet, false, &["status", "--json"]).await, 0, &["\"in_flight\"", "\"hosts\""]);
    // A domain that cannot hear of a withdrawal is named, and the exit code says so.
    fleet.set_domain_partition("olten-b", true);
    fleet.set_platform_partition(true, |host| host.domain == "olten-b");
    let cut =
        tool(&fleet, false, &["key", "withdraw", "--wait-s", "1", &fleet.keys["release"]]).await;
    contains(&cut, 1, &["olten-b", "NOT CONFIRMED", "may still work"]);
}
