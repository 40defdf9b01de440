//! Runs `damsonbeam migrate` as a process and checks its output, exit code and the written file.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Configuration to be migrated.
const OLD_CONFIG: &str = r#"{"name":"n2","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"1f",
  "counter":"127.0.0.1:7000","known":{"revision":1,"complete":true,"members":[]},"limits":{"sockets":256},"note":"mine",
  "settings":{"siblings":3,"self-index":2,"tick-ns":4000000,"dcs":["b-hall","a-hall"],"locality":1,
    "ceilings":{"connect-timeout-ns":250000000,"conn-idle-ns":15000000000,"try-limit":3},
    "domain":{"has-counter":true,"counter-timeout-ns":30000000},
    "request-classes":[{"name":"tile","slo-ns":1000000000,"deadline-ns":4000000000}],
    "plans":[{"name":"basic","quota-rate":2,"store-size":8}],"old-key":1}}"#;

/// Returns a shape file: the old configuration with other settings, after `change`.
fn shape_file(change: impl Fn(&mut serde_json::Value)) -> String {
    let mut shape: serde_json::Value = serde_json::from_str(OLD_CONFIG).unwrap();
    let settings = &mut shape["settings"];
    settings["dcs"] = serde_json::json!(["a-hall", "b-hall"]);
    settings["self-index"] = 0.into();
    settings["locality"] = 0.into();
    settings["plans"] = serde_json::json!([{"name": "open", "max-out": 2, "overrun-cost": 0.6}]);
    settings["domain"]["settles"] = true.into();
    settings.as_object_mut().unwrap().remove("old-key");
    change(&mut shape);
    shape.to_string()
}

/// A temporary folder with the files `old` and `shape`; removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str, old: &str, shape: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("damsonbeam-migrate-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        std::fs::write(path.join("old"), old).unwrap();
        std::fs::write(path.join("shape"), shape).unwrap();
        TempFolder(path)
    }
    /// Runs `migrate` in the folder with `extra_args`.
    fn run(&self, extra_args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_damsonbeam"));
        command
            .current_dir(&self.0)
            .args(["migrate", "old", "--shape", "shape", "--out", "new"])
            .args(extra_args);
        command.output().unwrap()
    }
    /// Returns the text of the written file, or `None` where the file does not exist.
    fn output_text(&self) -> Option<String> {
        std::fs::read_to_string(self.0.join("new")).ok()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

#[test]
fn own_keys_are_kept_settings_come_from_the_shape_and_lost_keys_are_reported() {
    let folder = TempFolder::new("whole", OLD_CONFIG, &shape_file(|_| ()));
    let dry_run = folder.run(&["--dry-run"]);
    assert!(
        dry_run.status.success() && folder.output_text().is_none(),
        "a dry run must not write the file"
    );
    let migrated = folder.run(&[]);
    assert!(migrated.status.success(), "{migrated:?}");
    let printed = String::from_utf8(migrated.stdout).unwrap();
    let count_notes = |text: &[u8]| String::from_utf8_lossy(text).lines().rev().skip(1).count();
    assert_eq!(
        count_notes(&dry_run.stdout),
        printed.lines().count() - 1,
        "a dry run must list the same changes"
    );
    for key in [
        "known",
        "note",
        "settings.plans",
        "settings.old-key",
        "settings.domain.settles",
    ] {
        assert!(
            printed.lines().any(|l| l.contains(&format!(" {key}:"))),
            "{key} in {printed}"
        );
    }
    let new: serde_json::Value = serde_json::from_str(&folder.output_text().unwrap()).unwrap();
    assert_eq!(
        (&new["name"], &new["counter"]),
        (&"n2".into(), &"127.0.0.1:7000".into())
    );
    assert_eq!(
        (&new["settings"]["self-index"], &new["settings"]["locality"]),
        (&2.into(), &0.into())
    );
    assert_eq!(
        (new.get("known"), &new["settings"]["plans"][0]["max-out"]),
        (None, &2.into())
    );
    let repeated = folder.run(&[]);
    assert_eq!(
        repeated.status.code(),
        Some(1),
        "an existing file must not be overwritten without --force"
    );
    assert!(folder.run(&["--force"]).status.success());
}

#[test]
fn file_with_the_settings_of_the_shape_is_written_unchanged() {
    let folder = TempFolder::new("same", OLD_CONFIG, OLD_CONFIG);
    assert!(folder.run(&[]).status.success());
    assert_eq!(folder.output_text().as_deref(), Some(OLD_CONFIG));
}

#[test]
fn invalid_input_is_reported_on_one_line_with_file_and_key_and_nothing_is_written() {
    let cases = [
        (
            OLD_CONFIG.replace("\"seed\":\"1f\",", ""),
            shape_file(|_| ()),
            "old: seed",
        ),
        (OLD_CONFIG[..40].into(), shape_file(|_| ()), "old: "),
        (OLD_CONFIG.into(), "[]".into(), "shape: not an object"),
        (
            OLD_CONFIG.into(),
            shape_file(|s| s["settings"]["plans"][0]["max-out"] = (-1).into()),
            "plans[0].max-out",
        ),
        (
            OLD_CONFIG.into(),
            shape_file(|s| s["settings"]["plans"][0]["quota-rate"] = 2.into()),
            "plans[0].store-size",
        ),
        (
            OLD_CONFIG.into(),
            shape_file(|s| s["settings"]["tick-ns"] = "x".into()),
            "settings.tick-ns",
        ),
    ];
    for (n, (old, shape, expected)) in cases.iter().enumerate() {
        let folder = TempFolder::new(&format!("invalid{n}"), old, shape);
        let output = folder.run(&[]);
        let printed = String::from_utf8(output.stderr).unwrap();
        assert_eq!(
            (output.status.code(), printed.lines().count()),
            (Some(1), 1),
            "{printed}"
        );
        assert!(
            printed.contains(expected) && folder.output_text().is_none(),
            "{expected} in {printed}"
        );
    }
    let without_arguments = Command::new(env!("CARGO_BIN_EXE_damsonbeam"))
        .arg("migrate")
        .output()
        .unwrap();
    assert_eq!(without_arguments.status.code(), Some(2));
}
