//! Builds mirror rules from the JSON of an operator's request.

use damsonbeam_control::config::ConfigChange;
use damsonbeam_control::config::MirrorRule;

pub fn rule(version: u32, share: f64, more: &str) -> MirrorRule {
    let text = format!(
        r#"{{"upserts":{{"copy_list":[{{"name":"m","service":"s","trial_service":"t","share":{share},"config_version":"r{version}",
        "instances":[{{"id":"x-1","address":"10.0.0.9:80","region":"p"}},{{"id":"x-2","address":"10.0.0.8:80","region":"q"}}]{more}}}]}}}}"#
    );
    MirrorRule::try_from(
        &ConfigChange::from_mirror_rules_json(text.into_bytes())
            .expect("the JSON is valid")
            .items[0],
    )
    .expect("the rule is valid")
}
