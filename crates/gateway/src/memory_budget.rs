//! Memory limits for received data: memory is reserved before the bytes arrive and released once they are dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Limit on the total memory of one kind of data. Clones share the limit.
#[derive(Clone)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Arc<AtomicUsize>,
}

/// Reserved part of a [`MemoryBudget`], released on drop.
pub struct MemoryReservation {
    bytes: usize,
    reserved: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        MemoryBudget {
            limit,
            reserved: Arc::default(),
        }
    }

    /// Reserves `bytes` bytes; returns `None` if fewer are left.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let reserved = self.reserved.load(Ordering::Relaxed);
        if bytes > self.limit - reserved {
            return None;
        }
        self.reserved.store(reserved + bytes, Ordering::Relaxed);
        Some(MemoryReservation {
            bytes,
            reserved: self.reserved.clone(),
        })
    }
}

impl MemoryReservation {
    /// Binds the reservation to `bytes`: it is released once the last clone of them is dropped.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
