//! Adds up the `account` lines of all gateways' logs: what each second cost the fleet, by reason.
//!
//! One gateway's log shows a call a second; a hundred of them show a service that serves none. A line that
//! can't be used is named with file and line and counted, never left out in silence.
#![warn(clippy::too_many_lines)]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::fs;
use std::path::Path;

use serde::Deserialize;

/// The form of the lines: gateways write it, and a reader refuses those that it does not know.
pub const VERSION: u64 = 1;
/// Faulty lines that are named one by one; the rest are counted.
const NAMED: usize = 20;

#[derive(Deserialize)]
struct Line {
    fields: Fields,
}

#[derive(Deserialize)]
struct Fields {
    #[serde(default)]
    code: String,
    version: Option<u64>,
    second: Option<u64>,
    /// A JSON object as text: what was counted, and how often.
    counts: Option<String>,
}

/// The fleet's account.
#[derive(Debug, Default)]
pub struct Account {
    /// Files that were read.
    pub files: usize,
    /// By what was counted, then by second.
    pub counts: BTreeMap<String, BTreeMap<u64, u64>>,
    /// Lines that could not be used: file, line and why.
    pub faulty: Vec<String>,
    /// Lines that could not be read.
    pub faulty_lines: usize,
}

/// Reads every file of a folder.
///
/// # Errors
/// Where the folder or a file can't be read.
pub fn read(folder: &Path) -> Result<Account, String> {
    let failed = |e| format!("{}: {e}", folder.display());
    let mut paths = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path.is_file() {
            paths.push(path);
        }
    }
    paths.sort();
    let mut account = Account::default();
    for path in paths {
        let bytes = fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        account.take(
            &path.display().to_string(),
            &String::from_utf8_lossy(&bytes),
        );
    }
    if account.files == 0 {
        return Err(format!("{}: no log files", folder.display()));
    }
    if account.counts.is_empty() {
        let found = format!(
            "{} log files, {} faulty lines",
            account.files, account.faulty_lines
        );
        let hint = "no account lines; gateways write them with DAMSONBEAM_LOG=debug";
        return Err(format!("{}: {hint} ({found})", folder.display()));
    }
    Ok(account)
}

impl Account {
    /// Takes in one gateway's log.
    pub fn take(&mut self, name: &str, text: &str) {
        self.files += 1;
        for (n, line) in text.lines().enumerate() {
            if let Err(why) = self.line(line) {
                self.faulty_lines += 1;
                if self.faulty.len() < NAMED {
                    self.faulty.push(format!("{name}:{}: {why}", n + 1));
                }
            }
        }
    }

    fn line(&mut self, line: &str) -> Result<(), String> {
        // Whoever collects logs may put a time before each line.
        let Some(at) = line.find('{') else {
            return if line.trim().is_empty() {
                Ok(())
            } else {
                Err("not a JSON line".into())
            };
        };
        let read: Line =
            serde_json::from_str(&line[at..]).map_err(|e| format!("not a log line: {e}"))?;
        let fields = read.fields;
        if fields.code != "account" {
            return Ok(());
        }
        match fields.version {
            Some(VERSION) => {}
            Some(other) => {
                return Err(format!(
                    "an account of version {other}; this reads {VERSION}"
                ));
            }
            None => return Err("an account of no version".into()),
        }
        let second = fields.second.ok_or("an account without `second`")?;
        let counts = fields.counts.ok_or("an account without `counts`")?;
        let counts: BTreeMap<String, u64> =
            serde_json::from_str(&counts).map_err(|e| format!("`counts`: {e}"))?;
        for (what, n) in counts {
            *self
                .counts
                .entry(what)
                .or_default()
                .entry(second)
                .or_default() += n;
        }
        Ok(())
    }

    fn seconds(&self) -> Vec<u64> {
        let all: BTreeSet<u64> = self
            .counts
            .values()
            .flat_map(|s| s.keys().copied())
            .collect();
        all.into_iter().collect()
    }

    /// A row for each thing counted: its sum, its worst second, and when that was.
    pub fn summary(&self) -> String {
        let from = self.seconds().first().copied().unwrap_or_default();
        let mut text = format!("{} logs, from second {from}\n", self.files);
        writeln!(
            text,
            "{:<28} {:>10} {:>10} {:>8}",
            "what", "sum", "most/s", "at"
        )
        .ok();
        for (what, by) in &self.counts {
            let sum: u64 = by.values().sum();
            let (at, most) = by
                .iter()
                .max_by_key(|(_, n)| **n)
                .map_or((from, 0), |(at, n)| (*at, *n));
            writeln!(
                text,
                "{what:<28} {sum:>10} {most:>10} {:>8}",
                format!("+{}", at - from)
            )
            .ok();
        }
        text
    }

    /// A row a second, a column for each thing counted.
    ///
    /// # Errors
    /// Where the table can't be written.
    pub fn csv(&self) -> Result<String, String> {
        let mut table = csv::Writer::from_writer(Vec::new());
        let head = std::iter::once("second".to_owned()).chain(self.counts.keys().cloned());
        table.write_record(head).map_err(|e| e.to_string())?;
        for second in self.seconds() {
            let row = self
                .counts
                .values()
                .map(|by| by.get(&second).copied().unwrap_or_default());
            let row = std::iter::once(second).chain(row).map(|n| n.to_string());
            table.write_record(row).map_err(|e| e.to_string())?;
        }
        let bytes = table.into_inner().map_err(|e| e.to_string())?;
        String::from_utf8(bytes).map_err(|e| e.to_string())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"level":"DEBUG","fields":{"message":"","code":"account","version":1,"second":7,"counts":"{\"sent.cold\":2,\"turned.line\":1}"}}"#;

    #[test]
    fn what_all_gateways_did_is_added_up_by_second() {
        let mut account = Account::default();
        account.take("a", GOOD);
        account.take(
            "b",
            &format!(
                "3.120 {GOOD}\n{}",
                GOOD.replace("\"second\":7", "\"second\":9")
            ),
        );
        assert_eq!(
            account.counts["sent.cold"],
            BTreeMap::from([(7, 4), (9, 2)])
        );
        assert_eq!(
            account.csv().unwrap(),
            "second,sent.cold,turned.line\n7,4,2\n9,2,1\n"
        );
        assert!(
            account.summary().contains("+0"),
            "the worst second is named"
        );
        assert_eq!(account.faulty_lines, 0);
    }

    #[test]
    fn faulty_lines_are_named_and_counted() {
        let mut account = Account::default();
        let cut = &GOOD[..80];
        let other = GOOD.replace("\"version\":1", "\"version\":2");
        let unread = GOOD.replace("\"second\":7,", "");
        account.take(
            "n1.log",
            &[cut, &other, &unread, "panicked at", GOOD].join("\n"),
        );
        assert_eq!(
            (account.faulty_lines, account.counts["sent.cold"][&7]),
            (4, 2)
        );
        for (n, why) in [
            (1, "not a log line"),
            (2, "version 2"),
            (3, "`second`"),
            (4, "not a JSON line"),
        ] {
            let found = account
                .faulty
                .iter()
                .any(|f| f.starts_with(&format!("n1.log:{n}: ")) && f.contains(why));
            assert!(found, "{why} in {:?}", account.faulty);
        }
    }

    #[test]
    fn a_folder_without_an_account_is_refused_with_what_to_do() {
        let folder = tempfile::tempdir().unwrap();
        assert!(read(folder.path()).unwrap_err().contains("no log files"));
        fs::write(
            folder.path().join("n1.log"),
            "{\"fields\":{\"code\":\"stage\"}}\n",
        )
        .unwrap();
        assert!(
            read(folder.path())
                .unwrap_err()
                .contains("DAMSONBEAM_LOG=debug")
        );
        assert!(read(&folder.path().join("none")).is_err());
    }
}
