//! Runs `damsonbeam config check` as a process and checks its output and exit code.

use std::process::{Command, Output};

/// A valid configuration with one settings key, `unread-here`, that the gateway does not read.
const VALID_CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"1f",
  "settings":{"siblings":1,"self-index":0,"tick-ns":4000000,"unread-here":1,
    "ceilings":{"connect-timeout-ns":250000000,"conn-idle-ns":15000000000,"try-limit":3},
    "request-classes":[{"name":"tile","slo-ns":1000000000,"deadline-ns":4000000000}],
    "plans":[{"name":"basic","quota-rate":2,"store-size":8}]}}"#;

/// Runs `config check` on a temporary file that contains `text`.
fn run_check(name: &str, text: &str) -> Output {
    let path = std::env::temp_dir().join(format!(
        "damsonbeam-check-{}-{name}.json",
        std::process::id()
    ));
    std::fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_damsonbeam"))
        .args(["config", "check"])
        .arg(&path)
        .output();
    std::fs::remove_file(&path).ok();
    output.unwrap()
}

#[test]
fn valid_file_passes_and_unread_settings_keys_are_noted() {
    let output = run_check("valid", VALID_CONFIG);
    let printed = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0), "{printed}");
    assert!(
        printed.contains("settings.unread-here: not read") && printed.ends_with("valid\n"),
        "{printed}"
    );
}

#[test]
fn unknown_key_and_invalid_value_are_rejected_with_the_key_name() {
    let unknown = run_check(
        "unknown",
        &VALID_CONFIG.replacen("\"seed\"", "\"colour\":\"red\",\"seed\"", 1),
    );
    let printed = String::from_utf8(unknown.stderr).unwrap();
    assert_eq!(unknown.status.code(), Some(1));
    assert!(printed.contains("colour: unknown key"), "{printed}");
    let invalid = run_check(
        "invalid",
        &VALID_CONFIG.replace("\"tick-ns\":4000000", "\"tick-ns\":\"soon\""),
    );
    let printed = String::from_utf8(invalid.stderr).unwrap();
    assert_eq!(invalid.status.code(), Some(1));
    assert!(printed.contains("settings.tick-ns"), "{printed}");
}
