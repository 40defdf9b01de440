//! Room in memory for what peers send: taken before the bytes come, given back once nobody holds them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// So many bytes for all of a kind together.
#[derive(Clone)]
pub struct MemoryBudget {
    most: usize,
    taken: Arc<AtomicUsize>,
}

/// A part of it.
pub struct MemoryReservation {
    bytes: usize,
    taken: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// So many bytes at most.
    pub fn new(most: usize) -> Self {
        MemoryBudget {
            most,
            taken: Arc::default(),
        }
    }

    /// None where it is full.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let taken = self.taken.load(Ordering::Relaxed);
        if bytes > self.most - taken {
            return None;
        }
        self.taken.store(taken + bytes, Ordering::Relaxed);
        Some(MemoryReservation {
            bytes,
            taken: self.taken.clone(),
        })
    }
}

impl MemoryReservation {
    /// The bytes, which keep the room until the last of their users lets go.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _room: self })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.taken.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _room: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
