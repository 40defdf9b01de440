//! What happened to one thing: the lines of all machines' logs that name it, in order of time.
//!
//! A folder holds a file for each process, as the machines kept them; a file's name stands for its machine. Lines
//! of the programs begin with a time, a level and a place, then the prefix of their part. Steps of a machine's
//! time of day put its lines out of place; those of one file stay in their order.

use std::path::Path;

use crate::{Fault, file};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    pub time: String,
    pub machine: String,
    pub text: String,
}

/// A log line's time and what it says; none where it is no line of the programs.
fn read(machine: &str, line: &str) -> Option<Line> {
    let (time, rest) = line.trim_start().split_once(char::is_whitespace)?;
    let known = time.starts_with(|c: char| c.is_ascii_digit());
    // Level and place are for whoever wrote the programs.
    let text = rest.trim_start().splitn(4, ' ').last()?;
    let text = rest
        .split_once(".rs:")
        .map_or(text, |r| r.1.split_once(' ').map_or(text, |t| t.1));
    known.then(|| Line {
        time: time.into(),
        machine: machine.into(),
        text: text.into(),
    })
}

/// Whether a line names it: as a word of its own, not as part of another name.
fn names(text: &str, what: &str) -> bool {
    let part = |c: char| c.is_alphanumeric() || c == '-' || c == '_';
    text.match_indices(what)
        .any(|(at, _)| !text[..at].ends_with(part) && !text[at + what.len()..].starts_with(part))
}

/// All lines that name it.
///
/// # Errors
/// Where the folder or a file can't be read.
pub fn explain(what: &str, logs: &Path) -> Result<Vec<Line>, Fault> {
    let mut out = Vec::new();
    let mut files: Vec<_> = std::fs::read_dir(logs)
        .map_err(|e| file(logs, e))?
        .flatten()
        .map(|f| f.path())
        .collect();
    files.sort();
    for path in files.into_iter().filter(|p| p.is_file()) {
        let text = std::fs::read(&path).map_err(|e| file(&path, e))?;
        let machine = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let text = String::from_utf8_lossy(&text);
        let whole_file = machine.starts_with(what);
        let lines = text.lines().filter(|l| whole_file || names(l, what));
        out.extend(lines.filter_map(|l| read(&machine, l)));
    }
    // A stable sort: what one process said at one time stays in its order.
    out.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(out)
}
