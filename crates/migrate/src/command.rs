//! The command `damsonbeam migrate OLD --shape SHAPE --out NEW [--dry-run] [--force]`, which reads and writes the files
//! for [`migrate`].

use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::{ConfigFile, MigrateError, migrate};

/// Converts a gateway's configuration to a deployment of another shape, and lists the settings that it could
/// not carry over. Exit codes: 0 success, 1 invalid input, 2 usage error.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// The gateway's current configuration file
    pub old: PathBuf,
    /// A configuration file with the settings of the new deployment
    #[arg(long)]
    pub shape: PathBuf,
    /// Path of the new configuration file
    #[arg(long)]
    pub out: PathBuf,
    /// Print the same notes without writing the file
    #[arg(long)]
    pub dry_run: bool,
    /// Overwrite an existing file
    #[arg(long)]
    pub force: bool,
}

/// The reason why the command failed; each message names the file.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    Io {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The contents of a file are not valid.
    #[error("{path}: {problem}")]
    Input {
        /// Path of the file, or both paths if the combined result is not valid.
        path: String,
        /// Why the contents were rejected.
        problem: String,
    },
    /// The new file already exists.
    #[error("{0}: already exists; --force overwrites it")]
    Exists(String),
}

/// Writes a file atomically. Without `force`, an existing file is an error.
fn write_atomically(path: &Path, text: &str, force: bool) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    file.write_all(text.as_bytes())?;
    file.as_file().sync_all()?;
    if force {
        file.persist(path)?;
    } else {
        file.persist_noclobber(path)?;
    }
    Ok(())
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| io_error(path, source))
}

fn io_error(path: &Path, source: io::Error) -> CommandError {
    CommandError::Io {
        path: path.display().to_string(),
        source,
    }
}

impl Args {
    /// Converts an error; the path is that given on the command line.
    fn input_error(&self, error: MigrateError) -> CommandError {
        let old = self.old.display();
        let shape = self.shape.display();
        let path = match error.file {
            ConfigFile::Old => old.to_string(),
            ConfigFile::Shape => shape.to_string(),
            ConfigFile::New => format!("{old} with {shape}"),
        };
        CommandError::Input {
            path,
            problem: error.problem,
        }
    }
}

/// Runs the command and prints the notes.
///
/// # Errors
/// Fails if a file can't be read or written, is not valid, or already exists; the message names the file.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let old = read_file(&args.old)?;
    let shape = read_file(&args.shape)?;
    let migrated = migrate(&old, &shape).map_err(|error| args.input_error(error))?;
    let out = args.out.display();
    if !args.force && args.out.exists() {
        return Err(CommandError::Exists(out.to_string()));
    }
    if !args.dry_run {
        write_atomically(&args.out, &migrated.text, args.force)
            .map_err(|source| io_error(&args.out, source))?;
    }
    for note in &migrated.notes {
        println!("{note}");
    }
    let status = if args.dry_run {
        "not written, dry run"
    } else {
        "written"
    };
    println!("{out}: {status}");
    Ok(())
}
