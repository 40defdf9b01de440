//! Parses request lines of the HTTP API with a tree of matchers: each inner node matches a path segment, each leaf a
//! method.

use std::collections::BTreeMap;

/// A request of the HTTP API.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Looks up the proxies for a client.
    Lookup {
        /// The host that the client wants to reach.
        host: String,
        /// The client's region.
        region: String,
        /// The client's zone.
        zone: String,
    },
    /// Changes the configuration.
    ChangeConfig,
    /// Reads the configuration.
    ReadConfig,
    /// Starts or ends the evacuation of a zone.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether the zone is to be out of service.
        evacuated: bool,
    },
    /// Changes the mirror rules.
    ChangeMirrorRules,
    /// Reads the mirror rules.
    ReadMirrorRules,
    /// Reads the state of the system.
    ReadState,
}

/// An error in a request line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The path is unknown.
    #[error("no such path")]
    UnknownPath,
    /// The path is known but does not allow the method.
    #[error("method not allowed for this path")]
    MethodNotAllowed,
}

type Query = BTreeMap<String, String>;
/// Builds a call from the wildcard segments and the query.
type BuildCall = fn(&[&str], &Query) -> Call;

enum Matcher {
    /// Matches the given path segment.
    Segment(&'static str, Vec<Matcher>),
    /// Matches any segment that is not empty, and passes it to the leaf.
    Wildcard(Vec<Matcher>),
    /// Matches a method at the end of the path.
    Method(&'static str, BuildCall),
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
    let mirror_rules = vec![
        Method("PATCH", |_, _| Call::ChangeMirrorRules),
        Method("GET", |_, _| Call::ReadMirrorRules),
    ];
    let configuration = vec![
        Method("PATCH", |_, _| Call::ChangeConfig),
        Method("GET", |_, _| Call::ReadConfig),
    ];
    let all = vec![
        Segment("lookup", vec![lookup]),
        Segment("state", vec![Method("GET", |_, _| Call::ReadState)]),
        Segment("copies", mirror_rules),
        Segment("configuration", configuration),
        Segment("evacuations", vec![evacuations]),
    ];
    vec![Segment("-", all)]
}

impl Call {
    /// Parses the method, path and query of a request line.
    ///
    /// # Errors
    /// Fails if the path is unknown or does not allow the method.
    pub fn parse(method: &str, path: &str, query: Option<&str>) -> Result<Call, CallError> {
        let pairs = query.unwrap_or_default().split('&');
        let pairs = pairs.filter_map(|pair| pair.split_once('='));
        let query = pairs
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        let path = path.strip_prefix('/').ok_or(CallError::UnknownPath)?;
        let segments: Vec<&str> = path.split('/').collect();
        match_segments(&matchers(), method, &segments, &mut Vec::new(), &query)
    }
}

fn match_segments<'a>(
    matchers: &[Matcher],
    method: &str,
    segments: &[&'a str],
    wildcards: &mut Vec<&'a str>,
    query: &Query,
) -> Result<Call, CallError> {
    let Some((first, rest)) = segments.split_first() else {
        let build = find_method(matchers, method)?;
        return Ok(build(wildcards, query));
    };
    for matcher in matchers {
        match matcher {
            Matcher::Segment(name, children) if name == first => {
                return match_segments(children, method, rest, wildcards, query);
            }
            Matcher::Wildcard(children) if !first.is_empty() => {
                wildcards.push(first);
                return match_segments(children, method, rest, wildcards, query);
            }
            _ => {}
        }
    }
    Err(CallError::UnknownPath)
}

fn find_method(matchers: &[Matcher], method: &str) -> Result<BuildCall, CallError> {
    let mut is_known_path = false;
    for matcher in matchers {
        if let Matcher::Method(name, build) = matcher {
            if *name == method {
                return Ok(*build);
            }
            is_known_path = true;
        }
    }
    Err(if is_known_path {
        CallError::MethodNotAllowed
    } else {
        CallError::UnknownPath
    })
}
