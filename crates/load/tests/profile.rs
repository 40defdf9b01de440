//! Tests for the parser of load profiles.

use std::time::Duration;

use damsonbeam_load::profile::parse;

const VALID_PROFILE: &str = "seed = 7\nlasting = \"60s\"\n[[plan]]\nname = \"basic\"\nrate = 10.0\nburst = 20.0\n\
    [[firm]]\nid = 1\nplan = \"basic\"\nrate = 8.0\n[[surge]]\nplan = \"basic\"\nat = \"20s\"\nlasting = \"15s\"\nfactor = 4.0\n";

#[test]
fn surges_and_ramps_multiply_the_rate_of_a_parsed_profile() {
    let profile = parse("p.toml", VALID_PROFILE).unwrap();
    assert_eq!(profile.patience, Duration::from_millis(7500));
    assert_eq!(profile.rate(&profile.firms[0], Duration::from_secs(5)), 8.0);
    assert_eq!(
        profile.rate(&profile.firms[0], Duration::from_secs(25)),
        32.0
    );
    let ramp = "[[ramp]]\nat = \"0s\"\nlasting = \"10s\"\nfrom = 1.0\nto = 3.0\n[client]\nconnections = 4\n";
    let profile = parse("p.toml", &format!("{VALID_PROFILE}{ramp}")).unwrap();
    assert_eq!(
        profile.rate(&profile.firms[0], Duration::from_secs(5)),
        16.0
    );
    assert_eq!(
        profile.rate(&profile.firms[0], Duration::from_secs(10)),
        8.0
    );
    assert_eq!(
        (
            profile.client_options.connections,
            profile.client_options.clients,
            profile.client_options.retries
        ),
        (Some(4), 1, 0)
    );
}

#[test]
fn invalid_profiles_are_rejected_with_file_line_and_reason() {
    let cases = [
        (
            VALID_PROFILE.replace("rate = 8.0", "rate = -8.0"),
            "p.toml:7: rate: -8 is negative",
        ),
        (
            VALID_PROFILE.replace(
                "plan = \"basic\"\nrate = 8.0",
                "plan = \"gold\"\nrate = 8.0",
            ),
            "p.toml:7: plan: `gold` is not a plan",
        ),
        (
            VALID_PROFILE.replace("at = \"20s\"", "at = \"50s\""),
            "p.toml:11: at: the surge ends after",
        ),
        (
            VALID_PROFILE.replace("factor = 4.0", "factor = 4.0\nspeed = 1"),
            "unknown field `speed`",
        ),
        (
            VALID_PROFILE.replace("lasting = \"15s\"", "lasting = \"15\""),
            "p.toml:11: lasting: `15` is not a duration with a unit",
        ),
        (
            format!("{VALID_PROFILE}[client]\nthink = \"5ms\"\n"),
            "p.toml:16: think: only allowed with users",
        ),
        (
            format!("{VALID_PROFILE}[client]\nretry = 5\n"),
            "unknown field `retry`",
        ),
        (
            format!("{VALID_PROFILE}[[ramp]]\nat = \"1s\"\nlasting = \"2s\"\nto = -1.0\n"),
            "p.toml:16: to: -1 is negative",
        ),
    ];
    for (text, expected) in cases {
        let error = parse("p.toml", &text).unwrap_err();
        assert!(error.contains(expected), "{expected} not in {error}");
    }
}
