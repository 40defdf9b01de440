//! Load profiles, good and bad.

use std::time::Duration;

use damsonbeam_load::profile::parse;

const GOOD: &str = "seed = 7\nlasting = \"60s\"\n[[plan]]\nname = \"basic\"\nrate = 10.0\nburst = 20.0\n\
    [[firm]]\nid = 1\nplan = \"basic\"\nrate = 8.0\n[[surge]]\nplan = \"basic\"\nat = \"20s\"\nlasting = \"15s\"\nfactor = 4.0\n";

#[test]
fn a_profile_is_read_and_a_surge_multiplies_its_plan() {
    let p = parse("p.toml", GOOD).unwrap();
    assert_eq!(p.patience, Duration::from_millis(7500));
    assert_eq!(p.rate(&p.firms[0], Duration::from_secs(5)), 8.0);
    assert_eq!(p.rate(&p.firms[0], Duration::from_secs(25)), 32.0);
    let ramp = "[[ramp]]\nat = \"0s\"\nlasting = \"10s\"\nfrom = 1.0\nto = 3.0\n[client]\nconnections = 4\n";
    let p = parse("p.toml", &format!("{GOOD}{ramp}")).unwrap();
    assert_eq!(p.rate(&p.firms[0], Duration::from_secs(5)), 16.0);
    assert_eq!(p.rate(&p.firms[0], Duration::from_secs(10)), 8.0);
    assert_eq!(
        (p.kind.connections, p.kind.clients, p.kind.retries),
        (Some(4), 1, 0)
    );
}

#[test]
fn bad_profiles_are_refused_with_file_line_and_reason() {
    let cases = [
        (
            GOOD.replace("rate = 8.0", "rate = -8.0"),
            "p.toml:7: rate: -8 is negative",
        ),
        (
            GOOD.replace(
                "plan = \"basic\"\nrate = 8.0",
                "plan = \"gold\"\nrate = 8.0",
            ),
            "p.toml:7: plan: `gold` is no plan",
        ),
        (
            GOOD.replace("at = \"20s\"", "at = \"50s\""),
            "p.toml:11: at: the surge ends after",
        ),
        (
            GOOD.replace("factor = 4.0", "factor = 4.0\nspeed = 1"),
            "unknown field `speed`",
        ),
        (
            GOOD.replace("lasting = \"15s\"", "lasting = \"15\""),
            "p.toml:11: lasting: `15` is no time",
        ),
        (
            format!("{GOOD}[client]\nthink = \"5ms\"\n"),
            "p.toml:16: think: only with users",
        ),
        (
            format!("{GOOD}[client]\nretry = 5\n"),
            "unknown field `retry`",
        ),
        (
            format!("{GOOD}[[ramp]]\nat = \"1s\"\nlasting = \"2s\"\nto = -1.0\n"),
            "p.toml:16: to: -1 is negative",
        ),
    ];
    for (text, says) in cases {
        let said = parse("p.toml", &text).unwrap_err();
        assert!(said.contains(says), "{says} in {said}");
    }
}
