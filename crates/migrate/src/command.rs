//! `damsonbeam migrate OLD --shape SHAPE --out NEW [--dry-run] [--force]`: the file side of [`migrate`].

use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::{File, MigrateError, migrate};

/// Writes a gateway's configuration anew for a deployment of another shape, and lists what it could not
/// carry over. Exit 0: done; 1: the input is faulty; 2: usage.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// The gateway's present file
    pub old: PathBuf,
    /// A file of the same form with the new site's settings
    #[arg(long)]
    pub shape: PathBuf,
    /// Where the new file goes
    #[arg(long)]
    pub out: PathBuf,
    /// Say the same and change nothing
    #[arg(long)]
    pub dry_run: bool,
    /// Write over a file that is there
    #[arg(long)]
    pub force: bool,
}

/// Why the command failed; each names the file.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// What stands in a file can't be used.
    #[error("{path}: {problem}")]
    Input {
        /// The file, or the two that don't go together.
        path: String,
        /// What is wrong.
        problem: String,
    },
    /// The new file is there already.
    #[error("{0}: is there already; --force writes over it")]
    Exists(String),
}

/// Writes a file whole or not at all.
fn write(path: &Path, text: &str, force: bool) -> io::Result<()> {
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

fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| io_error(path, source))
}

fn io_error(path: &Path, source: io::Error) -> CommandError {
    CommandError::Io {
        path: path.display().to_string(),
        source,
    }
}

impl Args {
    /// An error with the file's name as the command line has it.
    fn input_error(&self, error: MigrateError) -> CommandError {
        let old = self.old.display();
        let shape = self.shape.display();
        let path = match error.file {
            File::Old => old.to_string(),
            File::Shape => shape.to_string(),
            File::New => format!("{old} with {shape}"),
        };
        CommandError::Input {
            path,
            problem: error.problem,
        }
    }
}

/// Carries the command out.
///
/// # Errors
/// What goes wrong, as one line that names the file.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let old = read(&args.old)?;
    let shape = read(&args.shape)?;
    let migrated = migrate(&old, &shape).map_err(|error| args.input_error(error))?;
    let out = args.out.display();
    if !args.force && args.out.exists() {
        return Err(CommandError::Exists(out.to_string()));
    }
    if !args.dry_run {
        write(&args.out, &migrated.text, args.force)
            .map_err(|source| io_error(&args.out, source))?;
    }
    for note in &migrated.notes {
        println!("{note}");
    }
    let what = if args.dry_run {
        "not written, dry run"
    } else {
        "written"
    };
    println!("{out}: {what}");
    Ok(())
}
