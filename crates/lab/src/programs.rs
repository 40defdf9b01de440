//! Tests that apply to every program of the system, run against each program as a process.

use std::path::Path;
use std::process::Command;

/// Asserts that the program exits with status 1 after an invalid or missing settings file. For an invalid file it must
/// print exactly one line, which names the file and the invalid field; for a missing file the output names
/// `DAMSONBEAM_CONFIG` and the path.
///
/// # Panics
/// Panics where an assertion fails or the program or the file cannot be used.
pub fn assert_reports_invalid_settings(program: &Path, part: &str) {
    let run_with_settings = |settings_path: &str| {
        let output = Command::new(program)
            .env("DAMSONBEAM_CONFIG", settings_path)
            .output()
            .expect("the program starts");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    let file = std::env::temp_dir().join(format!("damsonbeam-{part}-{}.json", std::process::id()));
    let path = file.to_string_lossy().into_owned();
    for (text, field) in [
        (r#"{"node_name":7}"#, "listen_addresses"),
        ("{", "not JSON"),
    ] {
        std::fs::write(&file, text).expect("the settings file is written");
        let (code, stderr) = run_with_settings(&path);
        assert_eq!((code, stderr.lines().count()), (Some(1), 1), "{stderr}");
        assert!(
            stderr.contains(&format!("{part}: "))
                && stderr.contains(&path)
                && stderr.contains(field),
            "{stderr}"
        );
    }
    std::fs::remove_file(&file).expect("the settings file is removed");
    let (code, stderr) = run_with_settings("/nowhere/settings.json");
    assert!(
        code == Some(1) && stderr.contains("DAMSONBEAM_CONFIG=/nowhere/settings.json"),
        "{stderr}"
    );
}
