//! Tests the start of the program. This test also makes Cargo build the program together with the workspace's tests,
//! since the test of the whole system runs it.

#[test]
fn invalid_settings_are_reported_in_one_line_with_file_and_field() {
    let program = env!("CARGO_BIN_EXE_damsonbeam-proxy").as_ref();
    damsonbeam_lab::programs::assert_reports_invalid_settings(program, "proxy");
}
