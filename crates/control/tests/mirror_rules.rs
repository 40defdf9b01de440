//! Which mirror rules are taken, and what is said of those that are not.

use damsonbeam_control::config::{ConfigChange, ConfigSnapshot};

/// What the configuration with one service and a rule with `fields` is found to be.
fn verdict(fields: &str) -> String {
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
        for item in change.expect("reads").items {
            snapshot.merge(item);
        }
    }
    match snapshot.validate_mirror_rules() {
        Ok(()) => "valid".into(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn rules_that_could_do_harm_are_refused_by_field() {
    let refused = [
        ("", "valid"),
        (r#""share":1.5,"#, "m: share: not from 0 to 1"),
        (
            r#""trial_service":"s","#,
            "m: trial_service: `s` is a real service",
        ),
        (r#""by":"day","#, "m: by: no `day`: `tenant` or `caller`"),
        (
            r#""from_ms":9,"until_ms":8,"#,
            "m: until_ms: not after from_ms",
        ),
        (
            r#""kinds":["mutating"],"trial_keeps_records_apart":true,"#,
            "valid",
        ),
        (r#""instances":[],"#, "m: instances: none"),
    ];
    for (fields, says) in refused {
        // The first of two fields of one name counts.
        assert_eq!(verdict(fields), says, "{fields}");
    }
    assert!(verdict(r#""kinds":["mutating"],"#).contains("must register nothing a second time"));
    assert!(
        ConfigChange::from_json(br#"{"upserts":{"copy_list":[]}}"#.to_vec()).is_err(),
        "operators have no such list"
    );
}
