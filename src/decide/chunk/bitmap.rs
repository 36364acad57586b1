//! Bitmap of chunk indexes.

/// Set of chunk indexes below a fixed bound, with one bit per index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bitmap {
    words: Vec<u64>,
    /// Number of set bits.
    ones: u32,
    /// Exclusive upper bound of the indexes, the number of chunks.
    len: u32,
}

impl Bitmap {
    /// Creates an empty set for indexes below `len`.
    pub fn new(len: u32) -> Self {
        Self {
            words: vec![0; (len as usize).div_ceil(64)],
            ones: 0,
            len,
        }
    }

    /// Decodes a set of indexes below `len` from bytes, lowest bit first; bits at or above `len` are ignored.
    pub fn from_bytes(data: &[u8], len: u32) -> Self {
        let mut out = Self::new(len);
        for (i, byte) in data.iter().enumerate() {
            for bit in (0..8).filter(|bit| byte >> bit & 1 == 1) {
                out.insert((i * 8 + bit) as u32);
            }
        }
        out
    }

    /// Encodes the set as the bytes that [`Bitmap::from_bytes`] reads.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out: Vec<u8> = self.words.iter().flat_map(|w| w.to_le_bytes()).collect();
        out.truncate((self.len as usize).div_ceil(8));
        out
    }

    /// Adds an index; returns whether it was new and below the bound.
    pub fn insert(&mut self, i: u32) -> bool {
        if i >= self.len || self.contains(i) {
            return false;
        }
        self.words[i as usize / 64] |= 1 << (i % 64);
        self.ones += 1;
        true
    }

    /// Removes an index; returns whether it was in the set.
    pub fn remove(&mut self, i: u32) -> bool {
        if !self.contains(i) {
            return false;
        }
        self.words[i as usize / 64] &= !(1 << (i % 64));
        self.ones -= 1;
        true
    }

    /// Returns whether the index is in the set.
    pub fn contains(&self, i: u32) -> bool {
        i < self.len && self.words[i as usize / 64] >> (i % 64) & 1 == 1
    }

    /// Returns the number of indexes in the set.
    pub fn count(&self) -> u32 {
        self.ones
    }

    /// Returns whether every index below the bound is in the set.
    pub fn is_full(&self) -> bool {
        self.ones == self.len
    }

    /// Iterates over the indexes in the set.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.len).filter(|&i| self.contains(i))
    }
}
