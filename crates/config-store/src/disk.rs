//! The items on disk: one table each for what was accepted and what is decided, one for promises. Each write is
//! one transaction, synced before anything that depends on it is sent.
//!
//! `redb` stands in for `sled`, whose syncs use `sync_file_range`, which these machines' disks do not count.
//! Its files are reached through [`File`], which asks for no locks: the data folder is one process's alone.

use std::fs::{File as OsFile, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

use damsonbeam_control::items::{Ballot, Item, Key};
use damsonbeam_control::messages::{BackendSnapshot, Ip};
use redb::{
    Database, Durability, ReadableDatabase, ReadableTable, ReadableTableMetadata, StorageBackend,
    TableDefinition,
};

use crate::consensus::{DurableState, DurableWrite};

const ACCEPTED: TableDefinition<&[u8], &[u8]> = TableDefinition::new("accepted");
const DECIDED: TableDefinition<&[u8], &[u8]> = TableDefinition::new("decided");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The id of this disk: a store that is made anew has another.
const DISK: &str = "disk";
/// Memory for pages: the items are held by the agreement anyway.
const CACHE: usize = 4 << 20;

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{file}: {why}")]
    File { file: String, why: String },
    #[error("the store: {0}")]
    Store(#[from] redb::Error),
    #[error("{file}: it holds no sound store: {why}")]
    Unsound { file: String, why: String },
    #[error(
        "items.redb: made by a version that kept no voter set; start all core machines with empty data directories and \
         initial_start, and send the configuration again (store-export of that version writes it)"
    )]
    OldVersion,
}

/// A file without locks.
#[derive(Debug)]
pub struct File(OsFile);

impl StorageBackend for File {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.metadata()?.len())
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read_exact_at(out, offset)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync_all()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write_all_at(data, offset)
    }
}

pub struct Disk {
    db: Database,
}

/// What else is kept: the core machines known, for a start without a registry.
pub type Roster = Vec<Ip>;

fn fail(e: impl Into<redb::Error>) -> Fault {
    Fault::Store(e.into())
}

impl Disk {
    /// Opens the store, or makes one.
    ///
    /// # Errors
    /// Where the file can't be opened, or holds no store.
    pub fn open(dir: &Path) -> Result<Self, Fault> {
        let (path, fresh) = (dir.join("items.redb"), dir.join("items.new"));
        let file = |e: io::Error| Fault::File {
            file: path.display().to_string(),
            why: e.to_string(),
        };
        std::fs::create_dir_all(dir).map_err(file)?;
        if !path.exists() {
            // A store half made is none, and would be refused for good: it gets its name once it is whole, and the
            // name must outlast a loss of power too.
            let os = OpenOptions::new()
                .read(true)
                .write(true)
                .create(true)
                .truncate(true)
                .open(&fresh);
            drop(Self::on(File(os.map_err(file)?))?);
            std::fs::rename(&fresh, &path).map_err(file)?;
            OsFile::open(dir).and_then(|d| d.sync_all()).map_err(file)?;
        }
        let existing = OpenOptions::new()
            .read(true)
            .write(true)
            .open(&path)
            .map_err(file)?;
        Self::on(File(existing)).map_err(|e| match unsound(&e) {
            Some(why) => Fault::Unsound {
                file: path.display().to_string(),
                why,
            },
            None => e,
        })
    }

    /// # Errors
    /// Where it holds no store.
    pub fn on(file: impl StorageBackend) -> Result<Self, Fault> {
        let db = Database::builder()
            .set_cache_size(CACHE)
            .create_with_backend(file)
            .map_err(fail)?;
        let write = db.begin_write().map_err(fail)?;
        {
            let accepted = write.open_table(ACCEPTED).map_err(fail)?;
            write.open_table(DECIDED).map_err(fail)?;
            let mut meta = write.open_table(META).map_err(fail)?;
            if meta.get(DISK).map_err(fail)?.is_none() {
                if !accepted.is_empty().map_err(fail)? || !meta.is_empty().map_err(fail)? {
                    return Err(Fault::OldVersion);
                }
                meta.insert(DISK, &bitcode::encode(&new_id())[..])
                    .map_err(fail)?;
            }
        }
        write.commit().map_err(fail)?;
        Ok(Disk { db })
    }

    /// # Errors
    /// Where the disk fails, or a record is none.
    pub fn read(&self) -> Result<(DurableState, Roster, BackendSnapshot), Fault> {
        let mut kept = DurableState::default();
        let (mut roster, mut backends) = (Roster::default(), BackendSnapshot::default());
        let read = self.db.begin_read().map_err(fail)?;
        for (table, to) in [(ACCEPTED, &mut kept.accepted), (DECIDED, &mut kept.decided)] {
            for row in read.open_table(table).map_err(fail)?.iter().map_err(fail)? {
                let (_, value) = row.map_err(fail)?;
                to.merge(decode::<Item>(value.value())?);
            }
        }
        let meta = read.open_table(META).map_err(fail)?;
        if let Some(v) = meta.get("promised").map_err(fail)? {
            kept.promised = decode::<Ballot>(v.value())?;
        }
        if let Some(v) = meta.get(DISK).map_err(fail)? {
            kept.disk = decode::<u64>(v.value())?;
        }
        if let Some(v) = meta.get("roster").map_err(fail)? {
            roster = decode::<Roster>(v.value())?;
        }
        if let Some(v) = meta.get("backends").map_err(fail)? {
            backends = decode::<BackendSnapshot>(v.value())?;
        }
        Ok((kept, roster, backends))
    }

    /// All of it, or none.
    ///
    /// # Errors
    /// Where the disk fails: nothing that depends on it may be said then.
    pub fn keep(&self, all: &[DurableWrite]) -> Result<(), Fault> {
        let write = self.db.begin_write().map_err(fail)?;
        {
            let mut accepted = write.open_table(ACCEPTED).map_err(fail)?;
            let mut decided = write.open_table(DECIDED).map_err(fail)?;
            let mut meta = write.open_table(META).map_err(fail)?;
            for keep in all {
                match keep {
                    DurableWrite::Promised(b) => drop(
                        meta.insert("promised", &bitcode::encode(b)[..])
                            .map_err(fail)?,
                    ),
                    DurableWrite::Disk(id) => {
                        drop(meta.insert(DISK, &bitcode::encode(id)[..]).map_err(fail)?)
                    }
                    DurableWrite::Accepted(items) => {
                        for i in items {
                            accepted
                                .insert(&key(&i.key)[..], &bitcode::encode(i)[..])
                                .map_err(fail)?;
                        }
                    }
                    DurableWrite::Decided(items) => {
                        for i in items {
                            decided
                                .insert(&key(&i.key)[..], &bitcode::encode(i)[..])
                                .map_err(fail)?;
                        }
                    }
                }
            }
        }
        write.commit().map_err(fail)
    }

    /// The list as last read. It is not waited for: an older one does as well, for each request names the life it is for.
    ///
    /// # Errors
    /// Where the disk fails.
    pub fn keep_backends(&self, backends: &BackendSnapshot) -> Result<(), Fault> {
        let mut write = self.db.begin_write().map_err(fail)?;
        write.set_durability(Durability::None).map_err(fail)?;
        write
            .open_table(META)
            .map_err(fail)?
            .insert("backends", &bitcode::encode(backends)[..])
            .map_err(fail)?;
        write.commit().map_err(fail)
    }

    /// # Errors
    /// Where the disk fails.
    pub fn keep_roster(&self, roster: &Roster) -> Result<(), Fault> {
        let write = self.db.begin_write().map_err(fail)?;
        write
            .open_table(META)
            .map_err(fail)?
            .insert("roster", &bitcode::encode(roster)[..])
            .map_err(fail)?;
        write.commit().map_err(fail)
    }
}

/// What is wrong with the bytes of a file that could be read.
fn unsound(fault: &Fault) -> Option<String> {
    match fault {
        Fault::Store(redb::Error::Corrupted(why)) => Some(why.clone()),
        Fault::Store(redb::Error::Io(e)) if e.kind() == io::ErrorKind::InvalidData => {
            Some(e.to_string())
        }
        _ => None,
    }
}

/// Above all founders' numbers, which are addresses.
fn new_id() -> u64 {
    rand::random_range(1 << 32..u64::MAX)
}

fn key(k: &Key) -> Vec<u8> {
    let mut out = vec![k.kind as u8];
    out.extend_from_slice(k.name.as_bytes());
    out
}

fn decode<T: for<'a> bitcode::Decode<'a>>(bytes: &[u8]) -> Result<T, Fault> {
    bitcode::decode(bytes).map_err(|e| Fault::File {
        file: "items.redb".into(),
        why: format!("a record: {e}"),
    })
}
