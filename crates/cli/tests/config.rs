//! `damsonbeam config check` as an operator runs it.

use std::process::{Command, Output};

const GOOD: &str = r#"{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"1f",
  "settings":{"siblings":1,"self-index":0,"tick-ns":4000000,"unread-here":1,
    "ceilings":{"connect-timeout-ns":250000000,"conn-idle-ns":15000000000,"try-limit":3},
    "request-classes":[{"name":"tile","slo-ns":1000000000,"deadline-ns":4000000000}],
    "plans":[{"name":"basic","quota-rate":2,"store-size":8}]}}"#;

fn check(name: &str, text: &str) -> Output {
    let path = std::env::temp_dir().join(format!(
        "damsonbeam-check-{}-{name}.json",
        std::process::id()
    ));
    std::fs::write(&path, text).unwrap();
    let out = Command::new(env!("CARGO_BIN_EXE_damsonbeam"))
        .args(["config", "check"])
        .arg(&path)
        .output();
    std::fs::remove_file(&path).ok();
    out.unwrap()
}

#[test]
fn a_good_file_passes_and_keys_of_the_settings_that_nothing_reads_are_noted() {
    let out = check("good", GOOD);
    let said = String::from_utf8(out.stdout).unwrap();
    assert_eq!(out.status.code(), Some(0), "{said}");
    assert!(
        said.contains("settings.unread-here: not read") && said.ends_with("good\n"),
        "{said}"
    );
}

#[test]
fn an_unknown_key_of_its_own_and_a_bad_value_are_refused_with_the_key_named() {
    let unknown = check(
        "unknown",
        &GOOD.replacen("\"seed\"", "\"colour\":\"red\",\"seed\"", 1),
    );
    let said = String::from_utf8(unknown.stderr).unwrap();
    assert_eq!(unknown.status.code(), Some(1));
    assert!(said.contains("colour: unknown key"), "{said}");
    let bad = check(
        "bad",
        &GOOD.replace("\"tick-ns\":4000000", "\"tick-ns\":\"soon\""),
    );
    let said = String::from_utf8(bad.stderr).unwrap();
    assert_eq!(bad.status.code(), Some(1));
    assert!(said.contains("settings.tick-ns"), "{said}");
}
