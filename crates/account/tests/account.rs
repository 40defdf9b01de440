//! What is added up, what of a log can't be used, and which folders are refused.

use std::collections::BTreeMap;
use std::fs;

use damsonbeam_account::{Account, read};

const GOOD: &str = r#"{"level":"DEBUG","fields":{"message":"","code":"account","version":1,"second":7,"counts":"{\"sent.cold\":2,\"turned.line\":1}"}}"#;

#[test]
fn what_all_gateways_did_is_added_up_by_second() {
    let mut account = Account::default();
    account.take("a", GOOD);
    account.take(
        "b",
        &format!(
            "3.120 {GOOD}\n{}",
            GOOD.replace("\"second\":7", "\"second\":9")
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
        "the worst second is named"
    );
    assert_eq!(account.faulty_lines, 0);
}

#[test]
fn faulty_lines_are_named_and_counted() {
    let mut account = Account::default();
    let cut = &GOOD[..80];
    let other = GOOD.replace("\"version\":1", "\"version\":2");
    let unread = GOOD.replace("\"second\":7,", "");
    account.take(
        "n1.log",
        &[cut, &other, &unread, "panicked at", GOOD].join("\n"),
    );
    assert_eq!(
        (account.faulty_lines, account.counts["sent.cold"][&7]),
        (4, 2)
    );
    for (n, reason) in [
        (1, "not a log line"),
        (2, "version 2"),
        (3, "`second`"),
        (4, "not a JSON line"),
    ] {
        let found = account
            .faulty
            .iter()
            .any(|f| f.starts_with(&format!("n1.log:{n}: ")) && f.contains(reason));
        assert!(found, "{reason} in {:?}", account.faulty);
    }
}

#[test]
fn a_folder_without_an_account_is_refused_with_what_to_do() {
    let folder = tempfile::tempdir().unwrap();
    assert!(
        read(folder.path())
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
        read(folder.path())
            .unwrap_err()
            .to_string()
            .contains("DAMSONBEAM_LOG=debug")
    );
    assert!(read(&folder.path().join("none")).is_err());
}
