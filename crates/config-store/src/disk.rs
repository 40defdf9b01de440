//! The store on disk: one table for accepted items, one for committed items and one for all other state. Each write is
//! one transaction, which is synced before any message that depends on it is sent.
//!
//! The database is `redb` and not `sled`, because `sled` syncs with `sync_file_range`, which the disks of the core
//! machines do not treat as a sync. Its file is accessed through [`UnlockedFile`], which takes no locks: only one
//! process uses the data directory.

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

/// The name of the store's file in the data directory, and its name until it is complete.
const STORE_FILE: &str = "items.redb";
const TEMPORARY_FILE: &str = "items.new";

type ItemTable = TableDefinition<'static, &'static [u8], &'static [u8]>;
const ACCEPTED: ItemTable = TableDefinition::new("accepted");
const COMMITTED: ItemTable = TableDefinition::new("decided");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");

/// The keys of the table `META`.
const DISK_ID: &str = "disk";
const PROMISED: &str = "promised";
const ROSTER: &str = "roster";
const BACKENDS: &str = "backends";

/// The page cache, in bytes. It is small, because the replica holds all items in memory.
const CACHE_BYTES: usize = 4 << 20;
/// The lowest random disk id. Disk ids are above the addresses that identify founders in proposal numbers.
const LOWEST_DISK_ID: u64 = 1 << 32;

/// An error when reading or writing the store.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// A file can't be opened, or a record in it can't be decoded.
    #[error("{file}: {reason}")]
    File {
        /// The file.
        file: String,
        /// The cause.
        reason: String,
    },
    /// The database reports an error.
    #[error("database: {0}")]
    Database(#[from] redb::Error),
    /// The file exists, but is not a store or is corrupt.
    #[error("{file}: it holds no sound store: {reason}")]
    Corrupt {
        /// The file.
        file: String,
        /// The cause, as the database reports it.
        reason: String,
    },
    /// The store was written by a version without voter sets.
    #[error(
        "items.redb: made by a version that kept no voter set; start all core machines with empty data directories and \
         initial_start, and send the configuration again (store-export of that version writes it)"
    )]
    UnsupportedVersion,
}

/// The result of an operation on the store.
pub type Result<T> = std::result::Result<T, DiskError>;

/// Converts any error of the database, as callers handle all of them the same way.
fn database_error(error: impl Into<redb::Error>) -> DiskError {
    DiskError::Database(error.into())
}

/// A storage backend for a file, without file locks.
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

/// The addresses of the known core machines, used at a start without a registry.
pub type Roster = Vec<Ip>;

/// The whole state on disk.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// The state that the consensus depends on.
    pub durable: DurableState,
    /// The core machines known when the roster was last written.
    pub roster: Roster,
    /// The latest list of backends received.
    pub backends: BackendList,
}

/// An open store.
pub struct Disk {
    database: Database,
}

impl Disk {
    /// Opens the store in a data directory, and creates it if it does not exist.
    ///
    /// # Errors
    /// If the file can't be opened, or is not a valid store.
    pub fn open(directory: &Path) -> Result<Self> {
        let path = directory.join(STORE_FILE);
        let file_error = |error: io::Error| DiskError::File {
            file: path.display().to_string(),
            reason: error.to_string(),
        };
        std::fs::create_dir_all(directory).map_err(file_error)?;
        if !path.exists() {
            Self::create(directory, &path, file_error)?;
        }
        let existing = OpenOptions::new().read(true).write(true).open(&path);
        let existing = UnlockedFile(existing.map_err(file_error)?);
        Self::open_with_storage(existing).map_err(|error| match corruption_reason(&error) {
            Some(reason) => DiskError::Corrupt {
                file: path.display().to_string(),
                reason,
            },
            None => error,
        })
    }

    /// Creates an empty store. An incomplete store would be refused at every later start, so the file is renamed to its
    /// final name once it is complete. The directory is then synced, so that the name survives a power failure.
    fn create(
        directory: &Path,
        path: &Path,
        file_error: impl Fn(io::Error) -> DiskError,
    ) -> Result<()> {
        let temporary_path = directory.join(TEMPORARY_FILE);
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(true);
        let file = options.open(&temporary_path).map_err(&file_error)?;
        drop(Self::open_with_storage(UnlockedFile(file))?);
        std::fs::rename(&temporary_path, path).map_err(&file_error)?;
        let directory = File::open(directory).map_err(&file_error)?;
        directory.sync_all().map_err(&file_error)
    }

    /// Opens the store on the given storage backend; empty storage is initialized.
    ///
    /// # Errors
    /// If the storage is not empty and holds no valid store.
    pub fn open_with_storage(storage: impl StorageBackend) -> Result<Self> {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES);
        let database = builder
            .create_with_backend(storage)
            .map_err(database_error)?;
        let transaction = database.begin_write().map_err(database_error)?;
        Self::create_tables(&transaction)?;
        transaction.commit().map_err(database_error)?;
        Ok(Disk { database })
    }

    /// Creates the missing tables, and assigns the disk id to a new store.
    fn create_tables(transaction: &WriteTransaction) -> Result<()> {
        let accepted = transaction.open_table(ACCEPTED).map_err(database_error)?;
        transaction.open_table(COMMITTED).map_err(database_error)?;
        let mut meta = transaction.open_table(META).map_err(database_error)?;
        if meta.get(DISK_ID).map_err(database_error)?.is_some() {
            return Ok(());
        }
        let is_new = accepted.is_empty().map_err(database_error)?
            && meta.is_empty().map_err(database_error)?;
        if !is_new {
            return Err(DiskError::UnsupportedVersion);
        }
        let id: u64 = rand::random_range(LOWEST_DISK_ID..u64::MAX);
        put(&mut meta, DISK_ID, &id)
    }

    /// Reads the whole state.
    ///
    /// # Errors
    /// If the disk fails, or a record can't be decoded.
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

    /// Applies all writes in one transaction and syncs it.
    ///
    /// # Errors
    /// If the disk fails. No message that depends on the writes may be sent then.
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
                    DurableWrite::Reverted(keys) => revert_rows(&mut accepted, &committed, keys)?,
                }
            }
        }
        transaction.commit().map_err(database_error)
    }

    /// Writes the list of backends without a sync. An older list is harmless after a power failure, because each
    /// request names its backend.
    ///
    /// # Errors
    /// If the disk fails.
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

    /// Writes the known core machines.
    ///
    /// # Errors
    /// If the disk fails.
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

/// Replaces the rows of accepted items by those of the committed items.
fn revert_rows(
    accepted: &mut Table<&'static [u8], &'static [u8]>,
    committed: &Table<&'static [u8], &'static [u8]>,
    keys: &[ItemKey],
) -> Result<()> {
    for key in keys {
        let key = row_key(key);
        match committed.get(&key[..]).map_err(database_error)? {
            Some(row) => accepted.insert(&key[..], row.value()).map(drop),
            None => accepted.remove(&key[..]).map(drop),
        }
        .map_err(database_error)?;
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
        file: STORE_FILE.into(),
        reason: format!("a record: {error}"),
    })
}

/// Returns the key of an item's row: one byte for the kind, followed by the name.
fn row_key(key: &ItemKey) -> Vec<u8> {
    let mut bytes = vec![key.kind as u8];
    bytes.extend_from_slice(key.name.as_bytes());
    bytes
}

/// Returns the reason if the error means that the file could be read but its content is corrupt.
fn corruption_reason(error: &DiskError) -> Option<String> {
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
