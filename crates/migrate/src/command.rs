//! `damsonbeam migrate OLD --shape SHAPE --out NEW [--dry-run] [--force]`: the file side of [`migrate`].

use std::io::Write;
use std::path::{Path, PathBuf};

use crate::migrate;

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

/// Whole or not at all.
fn write(to: &Path, text: &str, force: bool) -> std::io::Result<()> {
    let folder = to
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    file.write_all(text.as_bytes())?;
    file.as_file().sync_all()?;
    if force {
        file.persist(to)?
    } else {
        file.persist_noclobber(to)?
    };
    Ok(())
}

/// Carries the command out; what goes wrong comes back as one line that names the file.
pub fn run(args: &Args) -> Result<(), String> {
    let read =
        |path: &Path| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    let (old, shape) = (read(&args.old)?, read(&args.shape)?);
    let named = |e: String| match e.split_once(": ") {
        Some(("OLD", what)) => format!("{}: {what}", args.old.display()),
        Some(("SHAPE", what)) => format!("{}: {what}", args.shape.display()),
        Some(("NEW", what)) => format!(
            "{} with {}: {what}",
            args.old.display(),
            args.shape.display()
        ),
        _ => e,
    };
    let done = migrate(&old, &shape).map_err(named)?;
    if !args.force && args.out.exists() {
        return Err(format!(
            "{}: is there already; --force writes over it",
            args.out.display()
        ));
    }
    if !args.dry_run {
        write(&args.out, &done.text, args.force)
            .map_err(|e| format!("{}: {e}", args.out.display()))?;
    }
    done.notes.iter().for_each(|note| println!("{note}"));
    println!(
        "{}: {}",
        args.out.display(),
        if args.dry_run {
            "not written, dry run"
        } else {
            "written"
        }
    );
    Ok(())
}
