//! Merges the log lines of all machines that mention one request, item, machine or backend, ordered by time.
//!
//! The folder holds one log file per process; the file stem is taken as the name of the machine. A log line starts
//! with a timestamp, a level and a source location, followed by the prefix of the component. If the clock of a machine
//! is stepped, its lines are sorted to the wrong position relative to other machines; lines of one file that have the
//! same timestamp keep their order.

use std::path::Path;

use crate::CtlError;

/// A line of a log file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogLine {
    /// Timestamp at the start of the line.
    pub time: String,
    /// Stem of the log file.
    pub machine: String,
    /// Text after the level and the source location.
    pub text: String,
}

/// Parses a log line; returns `None` if the line does not start with a timestamp.
fn parse_line(machine: &str, line: &str) -> Option<LogLine> {
    let (time, rest) = line.trim_start().split_once(char::is_whitespace)?;
    let has_timestamp = time.starts_with(|c: char| c.is_ascii_digit());
    // Operators need neither the level nor the source location.
    let text = rest.trim_start().splitn(4, ' ').last()?;
    let text = rest
        .split_once(".rs:")
        .map_or(text, |r| r.1.split_once(' ').map_or(text, |t| t.1));
    has_timestamp.then(|| LogLine {
        time: time.into(),
        machine: machine.into(),
        text: text.into(),
    })
}

/// Returns whether `text` contains `subject` as a whole word, not as part of a longer name.
fn mentions(text: &str, subject: &str) -> bool {
    let is_part_of_name = |c: char| c.is_alphanumeric() || c == '-' || c == '_';
    text.match_indices(subject).any(|(start, _)| {
        let (before, after) = (&text[..start], &text[start + subject.len()..]);
        !before.ends_with(is_part_of_name) && !after.starts_with(is_part_of_name)
    })
}

/// Returns all log lines in the folder that mention `subject`, ordered by time. All lines of a file are included if the
/// name of the file starts with `subject`.
///
/// # Errors
/// Fails if the folder or a file can't be read.
pub fn explain(subject: &str, logs: &Path) -> Result<Vec<LogLine>, CtlError> {
    let folder = std::fs::read_dir(logs).map_err(|error| CtlError::file(logs, error))?;
    let mut paths: Vec<_> = folder.flatten().map(|entry| entry.path()).collect();
    paths.sort();
    let mut found = Vec::new();
    for path in paths.into_iter().filter(|path| path.is_file()) {
        let bytes = std::fs::read(&path).map_err(|error| CtlError::file(&path, error))?;
        let text = String::from_utf8_lossy(&bytes);
        let machine = path.file_stem().unwrap_or_default().to_string_lossy();
        let is_log_of_subject = machine.starts_with(subject);
        let lines = text
            .lines()
            .filter(|line| is_log_of_subject || mentions(line, subject));
        found.extend(lines.filter_map(|line| parse_line(&machine, line)));
    }
    // The sort is stable: lines of one process with the same timestamp keep their order.
    found.sort_by(|earlier, later| earlier.time.cmp(&later.time));
    Ok(found)
}
