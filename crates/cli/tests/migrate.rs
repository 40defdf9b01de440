//! The command as an operator runs it.

use std::path::PathBuf;
use std::process::{Command, Output};

const OLD: &str = r#"{"name":"n2","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"1f",
  "counter":"127.0.0.1:7000","known":{"revision":1,"complete":true,"members":[]},"limits":{"sockets":256},"note":"mine",
  "settings":{"siblings":3,"self-index":2,"tick-ns":4000000,"dcs":["b-hall","a-hall"],"locality":1,
    "ceilings":{"connect-timeout-ns":250000000,"conn-idle-ns":15000000000,"try-limit":3},
    "domain":{"has-counter":true,"counter-timeout-ns":30000000},
    "request-classes":[{"name":"tile","slo-ns":1000000000,"deadline-ns":4000000000}],
    "plans":[{"name":"basic","quota-rate":2,"store-size":8}],"old-key":1}}"#;

fn shape(change: impl Fn(&mut serde_json::Value)) -> String {
    let mut shape: serde_json::Value = serde_json::from_str(OLD).unwrap();
    let set = &mut shape["settings"];
    set["dcs"] = serde_json::json!(["a-hall", "b-hall"]);
    set["self-index"] = 0.into();
    set["locality"] = 0.into();
    set["plans"] = serde_json::json!([{"name": "open", "max-out": 2, "overrun-cost": 0.6}]);
    set["domain"]["settles"] = true.into();
    set.as_object_mut().unwrap().remove("old-key");
    change(&mut shape);
    shape.to_string()
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str, old: &str, shape: &str) -> Self {
        let at =
            std::env::temp_dir().join(format!("damsonbeam-migrate-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&at).unwrap();
        std::fs::write(at.join("old"), old).unwrap();
        std::fs::write(at.join("shape"), shape).unwrap();
        Folder(at)
    }
    fn run(&self, more: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_damsonbeam"));
        command
            .current_dir(&self.0)
            .args(["migrate", "old", "--shape", "shape", "--out", "new"])
            .args(more);
        command.output().unwrap()
    }
    fn new_text(&self) -> Option<String> {
        std::fs::read_to_string(self.0.join("new")).ok()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

#[test]
fn own_keys_stay_the_shape_gives_the_settings_and_what_is_lost_is_named() {
    let folder = Folder::new("whole", OLD, &shape(|_| ()));
    let dry = folder.run(&["--dry-run"]);
    assert!(
        dry.status.success() && folder.new_text().is_none(),
        "a dry run changes nothing"
    );
    let done = folder.run(&[]);
    assert!(done.status.success(), "{done:?}");
    let said = String::from_utf8(done.stdout).unwrap();
    let listed = |text: &[u8]| String::from_utf8_lossy(text).lines().rev().skip(1).count();
    assert_eq!(
        listed(&dry.stdout),
        said.lines().count() - 1,
        "and says the same"
    );
    for key in [
        "known",
        "note",
        "settings.plans",
        "settings.old-key",
        "settings.domain.settles",
    ] {
        assert!(
            said.lines().any(|l| l.contains(&format!(" {key}:"))),
            "{key} in {said}"
        );
    }
    let new: serde_json::Value = serde_json::from_str(&folder.new_text().unwrap()).unwrap();
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
    let again = folder.run(&[]);
    assert_eq!(again.status.code(), Some(1), "not over what is there");
    assert!(folder.run(&["--force"]).status.success());
}

#[test]
fn a_file_of_the_new_shape_comes_out_as_it_is() {
    let folder = Folder::new("same", OLD, OLD);
    assert!(folder.run(&[]).status.success());
    assert_eq!(folder.new_text().as_deref(), Some(OLD));
}

#[test]
fn faulty_input_is_one_line_with_file_and_key_and_nothing_written() {
    let cases = [
        (
            OLD.replace("\"seed\":\"1f\",", ""),
            shape(|_| ()),
            "old: seed",
        ),
        (OLD[..40].into(), shape(|_| ()), "old: "),
        (OLD.into(), "[]".into(), "shape: not an object"),
        (
            OLD.into(),
            shape(|s| s["settings"]["plans"][0]["max-out"] = (-1).into()),
            "plans[0].max-out",
        ),
        (
            OLD.into(),
            shape(|s| s["settings"]["plans"][0]["quota-rate"] = 2.into()),
            "plans[0].store-size",
        ),
        (
            OLD.into(),
            shape(|s| s["settings"]["tick-ns"] = "x".into()),
            "settings.tick-ns",
        ),
    ];
    for (n, (old, shape, says)) in cases.iter().enumerate() {
        let folder = Folder::new(&format!("faulty{n}"), old, shape);
        let out = folder.run(&[]);
        let said = String::from_utf8(out.stderr).unwrap();
        assert_eq!(
            (out.status.code(), said.lines().count()),
            (Some(1), 1),
            "{said}"
        );
        assert!(
            said.contains(says) && folder.new_text().is_none(),
            "{says} in {said}"
        );
    }
    let none = Command::new(env!("CARGO_BIN_EXE_damsonbeam"))
        .arg("migrate")
        .output()
        .unwrap();
    assert_eq!(none.status.code(), Some(2));
}
