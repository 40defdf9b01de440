//! Tests the start of the program with invalid settings. The test also makes Cargo build the program whenever the
//! workspace's tests are built, because the system test runs it.

#[test]
fn invalid_settings_are_reported_in_one_line_with_file_and_field() {
    let program = env!("CARGO_BIN_EXE_damsonbeam-registry").as_ref();
    damsonbeam_lab::programs::assert_reports_invalid_settings(program, "registry");
}
