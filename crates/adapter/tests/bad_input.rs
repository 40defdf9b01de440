//! The adapter as a program: what it answers, and how it ends on what is not a batch.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
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

fn fails(input: &str, says: &[&str]) {
    let out = run(input);
    let text = String::from_utf8(out.stderr).expect("text");
    assert!(!out.status.success(), "{input}");
    assert_eq!(text.trim_end().lines().count(), 1, "one line: {text}");
    for word in says {
        assert!(text.contains(word), "{text} lacks {word}");
    }
}

const EMPTY: &str = "{\"clock-ns\":5,\"happened\":[]}\n";
const BEGIN: &str = concat!(
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
fn answers_each_line_and_ends_well_with_its_input() {
    let out = run(&format!("{EMPTY}{BEGIN}"));
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "{\"output\":[]}");
    assert!(
        lines[1].contains(r#""t":"place","gateway-id":0,"msg-id":9,"backend":7"#),
        "{text}"
    );
    assert_eq!(lines.len(), 2, "nothing but replies");
}

#[test]
fn names_the_line_and_what_is_wrong() {
    fails("hello\n", &["line 1"]);
    fails(&format!("{EMPTY}[]\n"), &["line 2"]);
    let request =
        r#"{"clock-ns":5,"happened":[{"t":"request","gateway-id":0,"valid-until-ns":9,"cls":0}]}"#;
    fails(&format!("{BEGIN}{request}\n"), &["line 2", "msg-id"]);
    let stranger = r#"{"clock-ns":5,"happened":[{"t":"left","gateway-id":4,"msg-id":1}]}"#;
    fails(
        &format!("{EMPTY}{stranger}\n"),
        &["line 2", "unknown instance 4"],
    );
    let page = r#"{"clock-ns":5,"happened":[{"t":"roster-change","gateway-id":0,"revision":2,"page":3,"form":"update"}]}"#;
    fails(&format!("{BEGIN}{page}\n"), &["line 2", "page 3"]);
}
