//! Runs the adapter as a process: valid batches get replies, and an invalid line ends the process with an error.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_damsonbeam-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(input.as_bytes())
        .expect("it reads");
    child.wait_with_output().expect("it ends")
}

fn assert_fails_with(input: &str, expected_words: &[&str]) {
    let output = run_adapter(input);
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success(), "{input}");
    assert_eq!(
        text.trim_end().lines().count(),
        1,
        "one line is expected: {text}"
    );
    for word in expected_words {
        assert!(text.contains(word), "{text} lacks {word}");
    }
}

const EMPTY_BATCH: &str = "{\"clock-ns\":5,\"happened\":[]}\n";
const BEGIN_BATCH: &str = concat!(
    r#"{"clock-ns":5,"happened":[{"t":"begin","gateway-id":0,"rng-seed":1,"facts":{"siblings":1,"tick-ns":2000000,"#,
    r#""unheard-of":[1],"request-classes":[{"slo-ns":1000000000,"deadline-ns":3000000000,"#,
    r#""idempotency":"retryable"}],"ceilings":{"try-limit":3}}},"#,
    r#"{"t":"register","page":0,"rows-in":[{"health":"U","backend":7,"new-key":1}]},"#,
    r#"{"t":"roster-change","gateway-id":0,"revision":1,"page":0,"form":"restored"},"#,
    r#"{"t":"unheard-of","gateway-id":0},"#,
    r#"{"t":"request","gateway-id":0,"msg-id":9,"valid-until-ns":3000000000,"cls":0,"account":"a","units":1}]}"#,
    "\n"
);

#[test]
fn each_line_gets_a_reply_and_end_of_input_exits_successfully() {
    let output = run_adapter(&format!("{EMPTY_BATCH}{BEGIN_BATCH}"));
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "{\"output\":[]}");
    assert!(
        lines[1].contains(r#""t":"place","gateway-id":0,"msg-id":9,"backend":7"#),
        "{text}"
    );
    assert_eq!(
        lines.len(),
        2,
        "one reply per input line and no other output"
    );
}

#[test]
fn invalid_line_exits_with_its_number_and_the_reason() {
    assert_fails_with("hello\n", &["line 1"]);
    assert_fails_with(&format!("{EMPTY_BATCH}[]\n"), &["line 2"]);
    let incomplete_request =
        r#"{"clock-ns":5,"happened":[{"t":"request","gateway-id":0,"valid-until-ns":9,"cls":0}]}"#;
    assert_fails_with(
        &format!("{BEGIN_BATCH}{incomplete_request}\n"),
        &["line 2", "msg-id"],
    );
    let unknown_instance = r#"{"clock-ns":5,"happened":[{"t":"left","gateway-id":4,"msg-id":1}]}"#;
    assert_fails_with(
        &format!("{EMPTY_BATCH}{unknown_instance}\n"),
        &["line 2", "unknown instance 4"],
    );
    let unknown_page = r#"{"clock-ns":5,"happened":[{"t":"roster-change","gateway-id":0,"revision":2,"page":3,"form":"update"}]}"#;
    assert_fails_with(
        &format!("{BEGIN_BATCH}{unknown_page}\n"),
        &["line 2", "page 3"],
    );
}
