//! What happened to one thing: the lines of all machines' logs that name it, in order of time.
//!
//! A folder holds a file for each process, as the machines kept them; a file's name stands for its machine. Lines
//! of the programs begin with a time, a level and a place, then the prefix of their part. Steps of a machine's
//! time of day put its lines out of place; those of one file stay in their order.

use std::path::Path;

use crate::CtlError;

/// A line of a log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    /// When it was written, as it says itself.
    pub time: String,
    /// Whose log it stands in.
    pub machine: String,
    /// What it says.
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
    let is_part_of_name = |c: char| c.is_alphanumeric() || c == '-' || c == '_';
    text.match_indices(what).any(|(start, _)| {
        let (before, after) = (&text[..start], &text[start + what.len()..]);
        !before.ends_with(is_part_of_name) && !after.starts_with(is_part_of_name)
    })
}

/// All lines that name it.
///
/// # Errors
/// Where the folder or a file can't be read.
pub fn explain(what: &str, logs: &Path) -> Result<Vec<Line>, CtlError> {
    let folder = std::fs::read_dir(logs).map_err(|error| CtlError::file(logs, error))?;
    let mut paths: Vec<_> = folder.flatten().map(|entry| entry.path()).collect();
    paths.sort();
    let mut found = Vec::new();
    for path in paths.into_iter().filter(|path| path.is_file()) {
        let bytes = std::fs::read(&path).map_err(|error| CtlError::file(&path, error))?;
        let text = String::from_utf8_lossy(&bytes);
        let machine = path.file_stem().unwrap_or_default().to_string_lossy();
        let is_its_own = machine.starts_with(what);
        let lines = text.lines().filter(|line| is_its_own || names(line, what));
        found.extend(lines.filter_map(|line| read(&machine, line)));
    }
    // A stable sort: what one process said at one time stays in its order.
    found.sort_by(|earlier, later| earlier.time.cmp(&later.time));
    Ok(found)
}
