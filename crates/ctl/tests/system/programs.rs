//! The programs of the system, built from the present source.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

const PROGRAMS: [&str; 3] = [
    "damsonbeam-proxy",
    "damsonbeam-registry",
    "damsonbeam-config-store",
];

/// Returns the path of a program. The first call builds all programs of which the source has changed: `cargo test` builds
/// only the program of this package, and what an earlier build left may be older than the source.
pub fn program_path(name: &str) -> PathBuf {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(build).join(name)
}

/// Builds the programs with the profile of this test, and returns their folder.
fn build() -> PathBuf {
    let own_program = Path::new(env!("CARGO_BIN_EXE_damsonbeam-ctl"));
    let folder = own_program.parent().expect("a folder").to_owned();
    let profile = match folder.file_name().and_then(|name| name.to_str()) {
        Some("debug") | None => "dev",
        Some(profile) => profile,
    };
    let mut cargo = Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--locked", "--profile", profile]);
    cargo
        .arg("--target-dir")
        .arg(folder.parent().expect("a folder"));
    for program in PROGRAMS {
        cargo.args(["-p", program]);
    }
    let built = cargo.status().is_ok_and(|status| status.success());
    assert!(built, "the programs can't be built");
    println!("programs: source {}, profile {profile}", source_revision());
    folder
}

/// Returns the commit of the source, with `-dirty` where the source differs from it.
fn source_revision() -> String {
    let described = Command::new("git")
        .args(["describe", "--always", "--dirty", "--abbrev=12"])
        .output();
    match described {
        Ok(output) if output.status.success() => {
            String::from_utf8_lossy(&output.stdout).trim().to_owned()
        }
        _ => "of an unknown commit".into(),
    }
}
