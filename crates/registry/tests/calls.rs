//! Which outside call a request line means.

use damsonbeam_registry::calls::{Call, CallError};

#[test]
fn a_call_is_recognised_by_path_then_method() {
    let zone = |evacuated| {
        Ok(Call::Evacuate {
            zone: "brest-a".into(),
            evacuated,
        })
    };
    assert_eq!(
        Call::read("POST", "/-/evacuations/brest-a", None),
        zone(true)
    );
    assert_eq!(
        Call::read("DELETE", "/-/evacuations/brest-a", None),
        zone(false)
    );
    assert_eq!(
        Call::read("PUT", "/-/evacuations/brest-a", None),
        Err(CallError::UnknownMethod)
    );
    assert_eq!(
        Call::read("POST", "/-/evacuations/", None),
        Err(CallError::UnknownPath)
    );
    assert_eq!(
        Call::read("GET", "/-/evacuations", None),
        Err(CallError::UnknownPath)
    );
    assert_eq!(
        Call::read("PATCH", "/-/configuration", None),
        Ok(Call::Change)
    );
    let lookup = Call::Lookup {
        host: "x".into(),
        region: "finistere".into(),
        zone: "brest-a".into(),
    };
    assert_eq!(
        Call::read(
            "GET",
            "/-/lookup",
            Some("name=x&region=finistere&zone=brest-a")
        ),
        Ok(lookup)
    );
}
