//! Room in memory for what peers send: taken before the bytes come, given back once nobody holds them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// So many bytes for all of a kind together.
#[derive(Clone)]
pub struct Rooms {
    most: usize,
    taken: Arc<AtomicUsize>,
}

/// A part of it.
pub struct Room {
    bytes: usize,
    taken: Arc<AtomicUsize>,
}

impl Rooms {
    pub fn new(most: usize) -> Self {
        Rooms {
            most,
            taken: Arc::default(),
        }
    }

    /// None where it is full.
    pub fn take(&self, bytes: usize) -> Option<Room> {
        let taken = self.taken.load(Ordering::Relaxed);
        if bytes > self.most - taken {
            return None;
        }
        self.taken.store(taken + bytes, Ordering::Relaxed);
        Some(Room {
            bytes,
            taken: self.taken.clone(),
        })
    }
}

impl Room {
    /// The bytes, which keep the room until the last of their users lets go.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Kept { bytes, _room: self })
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.taken.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct Kept {
    bytes: Bytes,
    _room: Room,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
