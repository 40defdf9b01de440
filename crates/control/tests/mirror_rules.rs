//! Validation of mirror rules, and the error messages for invalid ones.

use damsonbeam_control::config::{ConfigChange, ConfigSnapshot};

/// Validates a configuration with one service and a mirror rule with `fields`; returns `valid` or the error message.
fn validation_result(fields: &str) -> String {
    let rule = format!(
        r#"{{{fields}"name":"m","service":"s","trial_service":"t","share":0.5,"config_version":"r1",
            "instances":[{{"id":"x-1","address":"10.0.0.9:80","region":"p"}}]}}"#
    );
    let rules = format!(r#"{{"upserts":{{"copy_list":[{rule}]}}}}"#);
    let services =
        br#"{"upserts":{"service_list":[{"name":"s","health_path":"/h","config_version":"r1"}]}}"#;
    let changes = [
        ConfigChange::from_json(services.to_vec()),
        ConfigChange::from_mirror_rules_json(rules.into_bytes()),
    ];
    let mut snapshot = ConfigSnapshot::default();
    for change in changes {
        for item in change
            .expect("the change is valid JSON with known lists")
            .items
        {
            snapshot.merge(item);
        }
    }
    match snapshot.validate_mirror_rules() {
        Ok(()) => "valid".into(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn invalid_rules_are_rejected_with_the_field() {
    let cases = [
        ("", "valid"),
        (r#""share":1.5,"#, "m: share: not from 0 to 1"),
        (
            r#""trial_service":"s","#,
            "m: trial_service: `s` is a real service",
        ),
        (
            r#""by":"day","#,
            "m: by: `day` is neither `tenant` nor `caller`",
        ),
        (
            r#""from_ms":9,"until_ms":8,"#,
            "m: until_ms: not after from_ms",
        ),
        (
            r#""kinds":["mutating"],"trial_keeps_records_apart":true,"#,
            "valid",
        ),
        (r#""instances":[],"#, "m: instances: missing or empty"),
    ];
    for (fields, expected) in cases {
        // Of two fields with the same name the parser uses the first, so `fields` take precedence over the defaults.
        assert_eq!(validation_result(fields), expected, "{fields}");
    }
    assert!(
        validation_result(r#""kinds":["mutating"],"#)
            .contains("must not modify the same records a second time")
    );
    assert!(
        ConfigChange::from_json(br#"{"upserts":{"copy_list":[]}}"#.to_vec()).is_err(),
        "a configuration change has no list of mirror rules"
    );
}
