//! Which outside call a request line means, by a tree of matchers: each node takes a segment of the path, a leaf the
//! method.

use std::collections::BTreeMap;

/// What a caller wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// The proxies for a client.
    Lookup {
        /// The host that the client wants to reach.
        host: String,
        /// The client's region.
        region: String,
        /// The client's zone.
        zone: String,
    },
    /// To change the configuration.
    Change,
    /// The configuration.
    Read,
    /// To take a zone out of service, or back in.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether it is to be out of service.
        evacuated: bool,
    },
    /// To change the mirror rules.
    ChangeMirrorRules,
    /// The mirror rules.
    ReadMirrorRules,
    /// The state of the system.
    State,
}

/// Why a request line means no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// There is no such path.
    #[error("no such path")]
    UnknownPath,
    /// The path is known, the method is not.
    #[error("no such method")]
    UnknownMethod,
}

type Query = BTreeMap<String, String>;
/// Makes a call of the wildcard segments and the query.
type MakeCall = fn(&[&str], &Query) -> Call;

enum Matcher {
    /// A given segment.
    Segment(&'static str, Vec<Matcher>),
    /// Any segment that is not empty; it is handed to the leaf.
    Wildcard(Vec<Matcher>),
    /// A method, where the path ends.
    Method(&'static str, MakeCall),
}

fn matchers() -> Vec<Matcher> {
    use Matcher::{Method, Segment, Wildcard};
    let lookup = Method("GET", |_, query| {
        let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
        Call::Lookup {
            host: parameter("name"),
            region: parameter("region"),
            zone: parameter("zone"),
        }
    });
    let evacuations = Wildcard(vec![
        Method("POST", |segments, _| Call::Evacuate {
            zone: segments[0].into(),
            evacuated: true,
        }),
        Method("DELETE", |segments, _| Call::Evacuate {
            zone: segments[0].into(),
            evacuated: false,
        }),
    ]);
    let copies = vec![
        Method("PATCH", |_, _| Call::ChangeMirrorRules),
        Method("GET", |_, _| Call::ReadMirrorRules),
    ];
    let configuration = vec![
        Method("PATCH", |_, _| Call::Change),
        Method("GET", |_, _| Call::Read),
    ];
    let all = vec![
        Segment("lookup", vec![lookup]),
        Segment("state", vec![Method("GET", |_, _| Call::State)]),
        Segment("copies", copies),
        Segment("configuration", configuration),
        Segment("evacuations", vec![evacuations]),
    ];
    vec![Segment("-", all)]
}

impl Call {
    /// Reads a request line.
    ///
    /// # Errors
    /// Where there is no such call.
    pub fn read(method: &str, path: &str, query: Option<&str>) -> Result<Call, CallError> {
        let pairs = query.unwrap_or_default().split('&');
        let pairs = pairs.filter_map(|pair| pair.split_once('='));
        let query = pairs
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        let path = path.strip_prefix('/').ok_or(CallError::UnknownPath)?;
        let segments: Vec<&str> = path.split('/').collect();
        find(&matchers(), method, &segments, &mut Vec::new(), &query)
    }
}

fn find<'a>(
    matchers: &[Matcher],
    method: &str,
    segments: &[&'a str],
    wildcards: &mut Vec<&'a str>,
    query: &Query,
) -> Result<Call, CallError> {
    let Some((first, rest)) = segments.split_first() else {
        let make = find_method(matchers, method)?;
        return Ok(make(wildcards, query));
    };
    for matcher in matchers {
        match matcher {
            Matcher::Segment(name, below) if name == first => {
                return find(below, method, rest, wildcards, query);
            }
            Matcher::Wildcard(below) if !first.is_empty() => {
                wildcards.push(first);
                return find(below, method, rest, wildcards, query);
            }
            _ => {}
        }
    }
    Err(CallError::UnknownPath)
}

fn find_method(matchers: &[Matcher], method: &str) -> Result<MakeCall, CallError> {
    let mut is_path = false;
    for matcher in matchers {
        if let Matcher::Method(name, make) = matcher {
            if *name == method {
                return Ok(*make);
            }
            is_path = true;
        }
    }
    Err(if is_path {
        CallError::UnknownMethod
    } else {
        CallError::UnknownPath
    })
}
