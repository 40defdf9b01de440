//! Tests of the parser for request lines of the HTTP API.

use damsonbeam_registry::api_requests::{Call, CallError};

#[test]
fn request_line_is_matched_by_path_then_method() {
    let evacuate = |evacuated| {
        Ok(Call::Evacuate {
            zone: "brest-a".into(),
            evacuated,
        })
    };
    assert_eq!(
        Call::parse("POST", "/-/evacuations/brest-a", None),
        evacuate(true)
    );
    assert_eq!(
        Call::parse("DELETE", "/-/evacuations/brest-a", None),
        evacuate(false)
    );
    assert_eq!(
        Call::parse("PUT", "/-/evacuations/brest-a", None),
        Err(CallError::MethodNotAllowed)
    );
    assert_eq!(
        Call::parse("POST", "/-/evacuations/", None),
        Err(CallError::UnknownPath)
    );
    assert_eq!(
        Call::parse("GET", "/-/evacuations", None),
        Err(CallError::UnknownPath)
    );
    assert_eq!(
        Call::parse("PATCH", "/-/configuration", None),
        Ok(Call::ChangeConfig)
    );
    let lookup = Call::Lookup {
        host: "x".into(),
        region: "finistere".into(),
        zone: "brest-a".into(),
    };
    assert_eq!(
        Call::parse(
            "GET",
            "/-/lookup",
            Some("name=x&region=finistere&zone=brest-a")
        ),
        Ok(lookup)
    );
}
