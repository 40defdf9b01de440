//! Outside calls, told by a tree of matchers: each node takes a part of the path, a leaf the method.

use std::collections::BTreeMap;

/// What a caller wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    Lookup {
        region: String,
        zone: String,
    },
    Change,
    Read,
    Evacuate {
        zone: String,
        on: bool,
    },
    /// Rules for copies, set and read by staff.
    ChangeCopies,
    ReadCopies,
    /// How the system stands, for staff.
    State,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Miss {
    /// No such path.
    Path,
    /// The path is known, the method is not.
    Method,
}

type Make = fn(&[&str], &BTreeMap<String, String>) -> Call;

enum Tree {
    Part(&'static str, Vec<Tree>),
    /// Any one part, handed to the leaf.
    Any(Vec<Tree>),
    Leaf(&'static str, Make),
}

fn tree() -> Vec<Tree> {
    use Tree::{Any, Leaf, Part};
    vec![Part(
        "-",
        vec![
            Part(
                "lookup",
                vec![Leaf("GET", |_, q| {
                    let get = |name: &str| q.get(name).cloned().unwrap_or_default();
                    Call::Lookup {
                        region: get("region"),
                        zone: get("zone"),
                    }
                })],
            ),
            Part("state", vec![Leaf("GET", |_, _| Call::State)]),
            Part(
                "copies",
                vec![
                    Leaf("PATCH", |_, _| Call::ChangeCopies),
                    Leaf("GET", |_, _| Call::ReadCopies),
                ],
            ),
            Part(
                "configuration",
                vec![
                    Leaf("PATCH", |_, _| Call::Change),
                    Leaf("GET", |_, _| Call::Read),
                ],
            ),
            Part(
                "evacuations",
                vec![Any(vec![
                    Leaf("POST", |any, _| Call::Evacuate {
                        zone: any[0].into(),
                        on: true,
                    }),
                    Leaf("DELETE", |any, _| Call::Evacuate {
                        zone: any[0].into(),
                        on: false,
                    }),
                ])],
            ),
        ],
    )]
}

fn walk<'a>(
    tree: &[Tree],
    method: &str,
    parts: &[&'a str],
    any: &mut Vec<&'a str>,
    query: &BTreeMap<String, String>,
) -> Result<Call, Miss> {
    let Some((first, rest)) = parts.split_first() else {
        let leaves = || {
            tree.iter().filter_map(|t| {
                if let Tree::Leaf(m, make) = t {
                    Some((m, make))
                } else {
                    None
                }
            })
        };
        return match leaves().find(|l| *l.0 == method) {
            Some((_, make)) => Ok(make(any, query)),
            None if leaves().next().is_some() => Err(Miss::Method),
            None => Err(Miss::Path),
        };
    };
    for t in tree {
        match t {
            Tree::Part(name, below) if name == first => {
                return walk(below, method, rest, any, query);
            }
            Tree::Any(below) if !first.is_empty() => {
                any.push(first);
                return walk(below, method, rest, any, query);
            }
            _ => {}
        }
    }
    Err(Miss::Path)
}

/// What a request line asks for.
///
/// # Errors
/// Where there is no such call.
pub fn read(method: &str, path: &str, query: Option<&str>) -> Result<Call, Miss> {
    let pairs = query
        .unwrap_or_default()
        .split('&')
        .filter_map(|p| p.split_once('='));
    let query = pairs.map(|(k, v)| (k.to_string(), v.to_string())).collect();
    let parts: Vec<&str> = path
        .strip_prefix('/')
        .ok_or(Miss::Path)?
        .split('/')
        .collect();
    walk(&tree(), method, &parts, &mut Vec::new(), &query)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_told_by_path_then_method() {
        let zone = |on| {
            Ok(Call::Evacuate {
                zone: "brest-a".into(),
                on,
            })
        };
        assert_eq!(read("POST", "/-/evacuations/brest-a", None), zone(true));
        assert_eq!(read("DELETE", "/-/evacuations/brest-a", None), zone(false));
        assert_eq!(
            read("PUT", "/-/evacuations/brest-a", None),
            Err(Miss::Method)
        );
        assert_eq!(read("POST", "/-/evacuations/", None), Err(Miss::Path));
        assert_eq!(read("GET", "/-/evacuations", None), Err(Miss::Path));
        assert_eq!(read("PATCH", "/-/configuration", None), Ok(Call::Change));
        let lookup = Call::Lookup {
            region: "finistere".into(),
            zone: "brest-a".into(),
        };
        assert_eq!(
            read(
                "GET",
                "/-/lookup",
                Some("name=x&region=finistere&zone=brest-a")
            ),
            Ok(lookup)
        );
    }
}
