//! A hash that doesn't change between builds, for digests that processes compare.

use std::hash::Hasher;

/// The FNV-1a hash with 64 bits.
#[derive(Debug, Clone, Copy)]
pub(super) struct StableHasher(u64);

impl StableHasher {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;

    pub(super) fn new() -> StableHasher {
        StableHasher(Self::OFFSET)
    }

    /// The upper half of the hash, XORed onto the lower half.
    pub(super) fn short(self) -> u32 {
        (self.0 ^ (self.0 >> 32)) as u32
    }
}

impl Hasher for StableHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Self::PRIME);
        }
    }
}
