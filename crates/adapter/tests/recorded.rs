//! The adapter's answers to a recorded input stay the same byte by byte: three gateways with quotas, caps and hard limits,
//! a counter that fails for a while, and backends that refuse, slow down, drain and warm up.

use std::io::Write;
use std::process::{Command, Stdio};
use std::thread;

const INPUT: &str = include_str!("data/recorded-input.jsonl");
const OUTPUT: &str = include_str!("data/recorded-output.jsonl");

#[test]
fn recorded_input_gets_the_recorded_answers_byte_by_byte() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_damsonbeam-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    let writer = thread::spawn(move || stdin.write_all(INPUT.as_bytes()));
    let output = child.wait_with_output().expect("it ends");
    writer.join().expect("no panic").expect("it reads");
    assert!(output.status.success());
    let answers = String::from_utf8(output.stdout).expect("text");
    for (number, (answer, recorded)) in answers.lines().zip(OUTPUT.lines()).enumerate() {
        assert_eq!(answer, recorded, "line {}", number + 1);
    }
    assert_eq!(answers, OUTPUT);
}
