//! Guards against pages and examples that differ from what the programs accept.

use std::path::{Path, PathBuf};
use std::process::Command;

use damaskhatch::settings::Settings;
use damaskhatch_policy::sheet;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn the_example_settings_are_accepted() {
    for name in ["head-office.ini", "genossenschaft.ini"] {
        let file = root().join("examples").join(name);
        assert!(Settings::load(&file).is_ok(), "{name}: {:?}", Settings::load(&file).err());
    }
}

#[test]
fn the_example_sheets_are_accepted() {
    let page = std::fs::read_to_string(root().join("docs/SHEET.md")).expect("the page can be read");
    let blocks = page.split("\n## ").skip(1);
    let sheets = blocks.map(|block| {
        let lines = block.lines().filter_map(|line| line.strip_prefix("    "));
        lines.map(|line| line.to_owned() + "\n").collect::<String>()
    });
    let rows: Vec<usize> = sheets
        .map(|sheet| sheet::parse(sheet.as_bytes()).expect("the example has no fault").len())
        .collect();
    assert_eq!(rows.len(), 2);
    assert!(rows.iter().all(|rows| *rows > 20), "{rows:?}");
}

#[test]
fn settings_faults_name_file_section_key_and_reason() {
    let text = "[host]\nname = a\ncaller = here\nworkers = 0\ncolour = red\n[plattform]\n";
    let faults = Settings::parse("x.ini", text).expect_err("the settings have faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    for expected in [
        "x.ini: [plattform] : unknown section",
        "x.ini: [host] colour: unknown key",
        "x.ini: [host] caller: \"here\" is not IP:PORT",
        "x.ini: [host] workers: 0 is not within 1 to 64",
        "x.ini: [host] secret: is missing",
        "x.ini: [platform] address: is missing",
    ] {
        assert!(lines.iter().any(|line| line.starts_with(expected)), "{expected}\n{lines:?}");
    }
}

fn exit_code(program: &str, arguments: &[&str]) -> Option<i32> {
    Command::new(program).args(arguments).output().ok()?.status.code()
}

#[test]
fn exit_codes_match_the_help_texts() {
    let (tool, daemon) = (env!("CARGO_BIN_EXE_damaskhatch"), env!("CARGO_BIN_EXE_damaskhatchd"));
    let example = root().join("examples/head-office.ini");
    let example = example.to_str().expect("the path is text");
    assert_eq!(exit_code(daemon, &["--settings", example, "--check"]), Some(0));
    assert_eq!(exit_code(daemon, &["--settings", "/nowhere.ini"]), Some(1));
    assert_eq!(exit_code(daemon, &["--nonsense"]), Some(2));
    assert_eq!(exit_code(daemon, &["--list-settings"]), Some(0));
    assert_eq!(exit_code(tool, &["--help"]), Some(0));
    assert_eq!(exit_code(tool, &["nonsense"]), Some(2));
    assert_eq!(exit_code(tool, &["--host", "127.0.0.1:1", "status"]), Some(3));
    assert_eq!(exit_code(tool, &["sheet", "check", "/nowhere.csv"]), Some(1));
}
