//! Hash maps with a fast hasher, content hashes, and rendezvous hashing.

use std::{fmt, str::FromStr};

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};

use super::IdError;

/// A hash map with a fast hasher that is not resistant to chosen keys; keys from callers are length-limited ids.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the same hasher as [`HashMap`].
pub type HashSet<K> = rustc_hash::FxHashSet<K>;

/// A BLAKE3 hash of some content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Hashes a byte string.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..6]))
    }
}

impl FromStr for Digest {
    type Err = IdError;

    /// Parses 64 hexadecimal digits.
    fn from_str(s: &str) -> Result<Self, IdError> {
        let mut out = [0; 32];
        hex::decode_to_slice(s, &mut out).map_err(|_| IdError::new(s, "64 hexadecimal digits"))?;
        Ok(Self(out))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        if s.is_human_readable() {
            return s.collect_str(self);
        }
        self.0.serialize(s)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        if d.is_human_readable() {
            return String::deserialize(d)?.parse().map_err(de::Error::custom);
        }
        <[u8; 32]>::deserialize(d).map(Self)
    }
}

/// Returns the rendezvous score of a member for a key; the member with the lowest score ranks first.
pub fn rendezvous(key: &[u8], member: &[u8]) -> u64 {
    let mut h = blake3::Hasher::new();
    h.update(key);
    h.update(&[0]);
    h.update(member);
    let out = h.finalize();
    u64::from_le_bytes(
        out.as_bytes()[..8]
            .try_into()
            .expect("a BLAKE3 hash has 32 bytes"),
    )
}
