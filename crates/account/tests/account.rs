//! Sums over several logs, reports of faulty lines, and folders without usable logs.

use std::collections::BTreeMap;
use std::fs;

use damsonbeam_account::{Account, read_folder};

const VALID_LINE: &str = r#"{"level":"DEBUG","fields":{"message":"","code":"account","version":1,"second":7,"counts":"{\"sent.cold\":2,\"turned.line\":1}"}}"#;

#[test]
fn counts_of_several_logs_are_added_up_by_second() {
    let mut account = Account::default();
    account.add_log("a", VALID_LINE);
    account.add_log(
        "b",
        &format!(
            "3.120 {VALID_LINE}\n{}",
            VALID_LINE.replace("\"second\":7", "\"second\":9")
        ),
    );
    assert_eq!(
        account.counts["sent.cold"],
        BTreeMap::from([(7, 4), (9, 2)])
    );
    assert_eq!(
        account.csv().unwrap(),
        "second,sent.cold,turned.line\n7,4,2\n9,2,1\n"
    );
    assert!(
        account.summary().contains("+0"),
        "the summary shows the second with the maximum"
    );
    assert_eq!(account.malformed_line_count, 0);
}

#[test]
fn faulty_lines_are_reported_and_counted() {
    let mut account = Account::default();
    let truncated = &VALID_LINE[..80];
    let other_version = VALID_LINE.replace("\"version\":1", "\"version\":2");
    let without_second = VALID_LINE.replace("\"second\":7,", "");
    account.add_log(
        "n1.log",
        &[
            truncated,
            &other_version,
            &without_second,
            "panicked at",
            VALID_LINE,
        ]
        .join("\n"),
    );
    assert_eq!(
        (
            account.malformed_line_count,
            account.counts["sent.cold"][&7]
        ),
        (4, 2)
    );
    for (n, reason) in [
        (1, "not a log line"),
        (2, "version 2"),
        (3, "`second`"),
        (4, "not a JSON line"),
    ] {
        let found = account
            .malformed_line_errors
            .iter()
            .any(|line| line.starts_with(&format!("n1.log:{n}: ")) && line.contains(reason));
        assert!(found, "{reason} in {:?}", account.malformed_line_errors);
    }
}

#[test]
fn folder_without_account_lines_is_rejected_with_a_hint() {
    let folder = tempfile::tempdir().unwrap();
    assert!(
        read_folder(folder.path())
            .unwrap_err()
            .to_string()
            .contains("no log files")
    );
    fs::write(
        folder.path().join("n1.log"),
        "{\"fields\":{\"code\":\"stage\"}}\n",
    )
    .unwrap();
    assert!(
        read_folder(folder.path())
            .unwrap_err()
            .to_string()
            .contains("DAMSONBEAM_LOG=debug")
    );
    assert!(read_folder(&folder.path().join("none")).is_err());
}
