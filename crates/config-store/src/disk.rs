//! The items on disk: one table each for what was accepted and what is committed, one for everything else. Each write is
//! one transaction, synced before anything that depends on it is sent.
//!
//! `redb` stands in for `sled`, whose syncs use `sync_file_range`, which these machines' disks do not count. Its file is
//! reached through [`UnlockedFile`], which asks for no locks: the data directory belongs to one process alone.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{Item, ItemKey};
use damsonbeam_control::messages::BackendList;
use redb::{
    Database, Durability, ReadableDatabase, ReadableTable, ReadableTableMetadata, StorageBackend,
    Table, TableDefinition, WriteTransaction,
};

use crate::consensus::{DurableState, DurableWrite};

/// The store's file in the data directory, and its name while it is made.
const FILE: &str = "items.redb";
const UNFINISHED_FILE: &str = "items.new";

type ItemTable = TableDefinition<'static, &'static [u8], &'static [u8]>;
const ACCEPTED: ItemTable = TableDefinition::new("accepted");
const COMMITTED: ItemTable = TableDefinition::new("decided");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");

/// Keys of the table `META`.
const DISK_ID: &str = "disk";
const PROMISED: &str = "promised";
const ROSTER: &str = "roster";
const BACKENDS: &str = "backends";

/// Memory for pages: the replica holds the items anyway.
const CACHE_BYTES: usize = 4 << 20;
/// Ids of disks are above all founders' ids in proposal numbers, which are addresses.
const LOWEST_DISK_ID: u64 = 1 << 32;

/// Why the disk can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// A file can't be opened, or a record in it can't be read.
    #[error("{file}: {reason}")]
    File {
        /// The file.
        file: String,
        /// What is wrong.
        reason: String,
    },
    /// The database refuses.
    #[error("the store: {0}")]
    Database(#[from] redb::Error),
    /// The file is there, and is no store or a damaged one.
    #[error("{file}: it holds no sound store: {reason}")]
    Unsound {
        /// The file.
        file: String,
        /// What is wrong with its bytes.
        reason: String,
    },
    /// The store was made by a version that knew no voter set.
    #[error(
        "items.redb: made by a version that kept no voter set; start all core machines with empty data directories and \
         initial_start, and send the configuration again (store-export of that version writes it)"
    )]
    OldVersion,
}

/// The result of a call to the disk.
pub type Result<T> = std::result::Result<T, DiskError>;

/// All errors of the database are one: callers do the same about each.
fn database_error(error: impl Into<redb::Error>) -> DiskError {
    DiskError::Database(error.into())
}

/// A file without locks.
#[derive(Debug)]
pub struct UnlockedFile(File);

impl StorageBackend for UnlockedFile {
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

/// The core machines known, for a start without a registry.
pub type Roster = Vec<Ip>;

/// Everything that is kept on disk.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// What the consensus depends on.
    pub durable: DurableState,
    /// The core machines known last.
    pub roster: Roster,
    /// The list of backends as last read.
    pub backends: BackendList,
}

/// An open store.
pub struct Disk {
    database: Database,
}

impl Disk {
    /// Opens the store in a data directory, or makes one.
    ///
    /// # Errors
    /// Where the file can't be opened, or holds no store.
    pub fn open(directory: &Path) -> Result<Self> {
        let path = directory.join(FILE);
        let file_error = |error: io::Error| DiskError::File {
            file: path.display().to_string(),
            reason: error.to_string(),
        };
        std::fs::create_dir_all(directory).map_err(file_error)?;
        if !path.exists() {
            Self::make(directory, &path, file_error)?;
        }
        let existing = OpenOptions::new().read(true).write(true).open(&path);
        let existing = UnlockedFile(existing.map_err(file_error)?);
        Self::with_backend(existing).map_err(|error| match unsound_reason(&error) {
            Some(reason) => DiskError::Unsound {
                file: path.display().to_string(),
                reason,
            },
            None => error,
        })
    }

    /// Makes an empty store. A store that is half made is none, and would be refused for good: the file gets its name once
    /// it is complete, and the name must outlast a loss of power, too.
    fn make(
        directory: &Path,
        path: &Path,
        file_error: impl Fn(io::Error) -> DiskError,
    ) -> Result<()> {
        let unfinished = directory.join(UNFINISHED_FILE);
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(true);
        let file = options.open(&unfinished).map_err(&file_error)?;
        drop(Self::with_backend(UnlockedFile(file))?);
        std::fs::rename(&unfinished, path).map_err(&file_error)?;
        let directory = File::open(directory).map_err(&file_error)?;
        directory.sync_all().map_err(&file_error)
    }

    /// Opens the store on any storage; an empty one becomes a store.
    ///
    /// # Errors
    /// Where it holds no store.
    pub fn with_backend(storage: impl StorageBackend) -> Result<Self> {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES);
        let database = builder
            .create_with_backend(storage)
            .map_err(database_error)?;
        let write = database.begin_write().map_err(database_error)?;
        Self::make_tables(&write)?;
        write.commit().map_err(database_error)?;
        Ok(Disk { database })
    }

    /// Makes the tables that are missing, and gives the disk its id.
    fn make_tables(write: &WriteTransaction) -> Result<()> {
        let accepted = write.open_table(ACCEPTED).map_err(database_error)?;
        write.open_table(COMMITTED).map_err(database_error)?;
        let mut meta = write.open_table(META).map_err(database_error)?;
        if meta.get(DISK_ID).map_err(database_error)?.is_some() {
            return Ok(());
        }
        let is_new = accepted.is_empty().map_err(database_error)?
            && meta.is_empty().map_err(database_error)?;
        if !is_new {
            return Err(DiskError::OldVersion);
        }
        let id: u64 = rand::random_range(LOWEST_DISK_ID..u64::MAX);
        put(&mut meta, DISK_ID, &id)
    }

    /// Reads everything.
    ///
    /// # Errors
    /// Where the disk fails, or a record can't be read.
    pub fn read(&self) -> Result<StoredState> {
        let mut state = StoredState::default();
        let durable = &mut state.durable;
        let read = self.database.begin_read().map_err(database_error)?;
        for (table, snapshot) in [
            (ACCEPTED, &mut durable.accepted),
            (COMMITTED, &mut durable.committed),
        ] {
            let table = read.open_table(table).map_err(database_error)?;
            for row in table.iter().map_err(database_error)? {
                let (_, item) = row.map_err(database_error)?;
                snapshot.merge(decode::<Item>(item.value())?);
            }
        }
        let meta = read.open_table(META).map_err(database_error)?;
        durable.promised = get(&meta, PROMISED)?.unwrap_or_default();
        durable.disk_id = get(&meta, DISK_ID)?.unwrap_or_default();
        state.roster = get(&meta, ROSTER)?.unwrap_or_default();
        state.backends = get(&meta, BACKENDS)?.unwrap_or_default();
        Ok(state)
    }

    /// Writes all of this or nothing, and syncs.
    ///
    /// # Errors
    /// Where the disk fails: nothing that depends on the writes may be sent then.
    pub fn persist(&self, writes: &[DurableWrite]) -> Result<()> {
        let transaction = self.database.begin_write().map_err(database_error)?;
        {
            let mut accepted = transaction.open_table(ACCEPTED).map_err(database_error)?;
            let mut committed = transaction.open_table(COMMITTED).map_err(database_error)?;
            let mut meta = transaction.open_table(META).map_err(database_error)?;
            for write in writes {
                match write {
                    DurableWrite::Promised(number) => put(&mut meta, PROMISED, number)?,
                    DurableWrite::DiskId(id) => put(&mut meta, DISK_ID, id)?,
                    DurableWrite::Accepted(items) => put_items(&mut accepted, items)?,
                    DurableWrite::Committed(items) => put_items(&mut committed, items)?,
                }
            }
        }
        transaction.commit().map_err(database_error)
    }

    /// Writes the list of backends without a sync: an older list does as well, for each request names the backend that it
    /// is for.
    ///
    /// # Errors
    /// Where the disk fails.
    pub fn persist_backends(&self, backends: &BackendList) -> Result<()> {
        let mut transaction = self.database.begin_write().map_err(database_error)?;
        transaction
            .set_durability(Durability::None)
            .map_err(database_error)?;
        {
            let mut meta = transaction.open_table(META).map_err(database_error)?;
            put(&mut meta, BACKENDS, backends)?;
        }
        transaction.commit().map_err(database_error)
    }

    /// Writes the core machines known.
    ///
    /// # Errors
    /// Where the disk fails.
    pub fn persist_roster(&self, roster: &Roster) -> Result<()> {
        let transaction = self.database.begin_write().map_err(database_error)?;
        {
            let mut meta = transaction.open_table(META).map_err(database_error)?;
            put(&mut meta, ROSTER, roster)?;
        }
        transaction.commit().map_err(database_error)
    }
}

fn put<T: bitcode::Encode>(
    meta: &mut Table<&'static str, &'static [u8]>,
    key: &str,
    value: &T,
) -> Result<()> {
    let bytes = bitcode::encode(value);
    meta.insert(key, &bytes[..]).map_err(database_error)?;
    Ok(())
}

fn put_items(table: &mut Table<&'static [u8], &'static [u8]>, items: &[Item]) -> Result<()> {
    for item in items {
        let key = row_key(&item.key);
        let bytes = bitcode::encode(item);
        table.insert(&key[..], &bytes[..]).map_err(database_error)?;
    }
    Ok(())
}

fn get<T: for<'a> bitcode::Decode<'a>>(
    meta: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<T>> {
    let value = meta.get(key).map_err(database_error)?;
    value.map(|value| decode(value.value())).transpose()
}

fn decode<T: for<'a> bitcode::Decode<'a>>(bytes: &[u8]) -> Result<T> {
    bitcode::decode(bytes).map_err(|error| DiskError::File {
        file: FILE.into(),
        reason: format!("a record: {error}"),
    })
}

/// The key of an item's row: a byte for its kind, then its name.
fn row_key(key: &ItemKey) -> Vec<u8> {
    let mut bytes = vec![key.kind as u8];
    bytes.extend_from_slice(key.name.as_bytes());
    bytes
}

/// What is wrong with the bytes of a file that could be read.
fn unsound_reason(error: &DiskError) -> Option<String> {
    match error {
        DiskError::Database(redb::Error::Corrupted(reason)) => Some(reason.clone()),
        DiskError::Database(redb::Error::Io(error))
            if error.kind() == io::ErrorKind::InvalidData =>
        {
            Some(error.to_string())
        }
        _ => None,
    }
}
