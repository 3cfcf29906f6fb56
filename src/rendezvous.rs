//! Rendezvous hashing: all VMs compute the same ranking of names for a key without communication.

use smol_str::SmolStr;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A hash that is the same in all processes and builds, unlike the hashers of std.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut state = FNV_OFFSET;
    for part in parts {
        for byte in *part {
            state = (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        // A separator that no UTF-8 text contains, so that ("ab", "c") and ("a", "bc") differ.
        state = (state ^ 0xff).wrapping_mul(FNV_PRIME);
    }
    mix(state)
}

/// Finalizer of SplitMix64; FNV-1a alone changes the high bits too little for short keys.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The name with the largest weight for the key.
pub fn first<'a>(key: &[&[u8]], names: impl IntoIterator<Item = &'a SmolStr>) -> Option<&'a SmolStr> {
    let base = hash(key);
    names.into_iter().max_by_key(|name| (weight(base, name), *name))
}

/// The names in descending order of their weight for the key.
pub fn ranked<'a>(key: &[&[u8]], names: impl IntoIterator<Item = &'a SmolStr>) -> Vec<&'a SmolStr> {
    let base = hash(key);
    let mut list: Vec<_> = names.into_iter().collect();
    list.sort_by_cached_key(|name| std::cmp::Reverse((weight(base, name), *name)));
    list
}

fn weight(base: u64, name: &str) -> u64 {
    hash(&[&base.to_le_bytes(), name.as_bytes()])
}
