//! Tests for the parser of fault scripts.

use std::time::Duration;

use damsonbeam_lab::script::{Fault, parse};

#[test]
fn valid_script_yields_steps_in_order_with_line_numbers() {
    let text = "[[step]]\nat = \"2s\"\ndo = \"counter-kill\"\n\n[[step]]\nat = \"4500ms\"\ndo = \"counter-revive\"\nempty = true\n";
    let steps = parse("s.toml", text, 3, 2, 4).unwrap();
    assert_eq!(steps.len(), 2);
    assert_eq!(steps[1].at, Duration::from_millis(4500));
    assert_eq!(
        steps[1].fault,
        Fault::CounterRevive {
            front: None,
            empty: true
        }
    );
    assert_eq!((steps[0].line, steps[1].line), (1, 5));
}

#[test]
fn invalid_scripts_are_rejected_with_file_line_and_reason() {
    let cases = [
        (
            "[[step]]\nat = \"1s\"\ndo = \"counter-explode\"\n",
            "s.toml:1: do: `counter-explode` is not a step",
        ),
        (
            "[[step]]\nat = \"5s\"\ndo = \"counter-kill\"\n[[step]]\nat = \"1s\"\ndo = \"counter-heal\"\n",
            "s.toml:4: at: 1s comes before",
        ),
        (
            "[[step]]\nat = \"1s\"\ndo = \"backend-fail\"\nshare = -0.5\n",
            "s.toml:1: share: -0.5 is not a share",
        ),
        (
            "[[step]]\nat = \"10\"\ndo = \"counter-kill\"\n",
            "s.toml:1: at: `10` is not a duration with a unit",
        ),
        (
            "[[step]]\nat = \"1s\"\ndo = \"counter-cut\"\nfront = 7\n",
            "s.toml:1: front: 7 is out of range; there are 3 fronts",
        ),
        (
            "[[step]]\nat = \"1s\"\ndo = \"gateway-kill\"\n",
            "s.toml:1: gateway: missing for `gateway-kill`",
        ),
        (
            "[[step]]\nat = \"1s\"\ndo = \"gateway-upgrade\"\ngateway = 3\n",
            "s.toml:1: gateway: 3 is out of range; there are 3 gateways",
        ),
        (
            "[[step]]\nat = \"1s\"\ndo = \"gateway-reload\"\nfactor = -1.0\n",
            "s.toml:1: factor: -1 is not a positive finite number",
        ),
        (
            "[[step]]\nat = \"1s\"\ndo = \"counter-kill\"\ncolour = 1\n",
            "unknown field `colour`",
        ),
    ];
    for (text, expected) in cases {
        let error = parse("s.toml", text, 3, 2, 4).unwrap_err();
        assert!(error.contains(expected), "{expected} not in {error}");
    }
}
