//! Tests of the program's start. Because of this test Cargo builds the program whenever it builds the workspace's
//! tests; the system tests run that program.

#[test]
fn settings_errors_are_reported_in_one_line_with_file_and_field() {
    let program = env!("CARGO_BIN_EXE_damsonbeam-config-store").as_ref();
    damsonbeam_lab::programs::assert_reports_invalid_settings(program, "store");
}
