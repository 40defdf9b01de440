//! The adapter's output for a recorded input must not change by a single byte. The recording covers three gateways with
//! quotas, caps and hard limits, a counter that fails temporarily, and backends that refuse requests, slow down, drain
//! and warm up.

use std::io::Write;
use std::process::{Command, Stdio};
use std::thread;

const RECORDED_INPUT: &str = include_str!("data/recorded-input.jsonl");
const RECORDED_OUTPUT: &str = include_str!("data/recorded-output.jsonl");

#[test]
fn recorded_input_produces_the_recorded_output_byte_by_byte() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_damsonbeam-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    let writer = thread::spawn(move || stdin.write_all(RECORDED_INPUT.as_bytes()));
    let output = child.wait_with_output().expect("it ends");
    writer.join().expect("no panic").expect("it reads");
    assert!(output.status.success());
    let replies = String::from_utf8(output.stdout).expect("text");
    for (number, (reply, recorded)) in replies.lines().zip(RECORDED_OUTPUT.lines()).enumerate() {
        assert_eq!(reply, recorded, "line {}", number + 1);
    }
    assert_eq!(replies, RECORDED_OUTPUT);
}
