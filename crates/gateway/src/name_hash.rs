//! Hashes of the names of requests and counters.

use std::hash::Hasher;

use fnv::FnvHasher;

/// Returns the hash of a name, the same in all processes.
pub(crate) fn hash_name(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}
