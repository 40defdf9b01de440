//! What holds of all programs of the system, played against each as a process.

use std::path::Path;
use std::process::Command;

/// A settings file that can't be taken ends the program with 1 and one line that names the file and the field.
///
/// # Panics
/// Where it does not.
pub fn says_what_is_wrong_with_its_settings(program: &Path, part: &str) {
    let says = |settings: &str| {
        let done = Command::new(program)
            .env("DAMSONBEAM_CONFIG", settings)
            .output()
            .expect("runs");
        (
            done.status.code(),
            String::from_utf8_lossy(&done.stderr).into_owned(),
        )
    };
    let file = std::env::temp_dir().join(format!("damsonbeam-{part}-{}.json", std::process::id()));
    let path = file.to_string_lossy().into_owned();
    for (text, field) in [
        (r#"{"node_name":7}"#, "listen_addresses"),
        ("{", "not JSON"),
    ] {
        std::fs::write(&file, text).expect("written");
        let (code, said) = says(&path);
        assert_eq!((code, said.lines().count()), (Some(1), 1), "{said}");
        assert!(
            said.contains(&format!("{part}: ")) && said.contains(&path) && said.contains(field),
            "{said}"
        );
    }
    std::fs::remove_file(&file).expect("there");
    let (code, said) = says("/nowhere/settings.json");
    assert!(
        code == Some(1) && said.contains("DAMSONBEAM_CONFIG=/nowhere/settings.json"),
        "{said}"
    );
}
