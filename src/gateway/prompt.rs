//! Parts of a prompt, as a request's header lists them.

use crate::{base::HashSet, decide::quarantine::PartId};

/// Largest number of parts of one prompt that are considered.
const PARTS_MAX: usize = 64;

/// Returns the parts of a prompt that other requests may share, each once, from the value of the header that lists all
/// parts: all but the last one, which is the request's own. Parts whose id is not hexadecimal are left out.
///
/// Of a prompt with more than 64 parts, a random selection is returned, so that no fixed position escapes notice.
pub fn shared_parts(list: &str) -> Vec<PartId> {
    let Some((shared, _own)) = list.rsplit_once(',') else {
        return Vec::new();
    };
    let ids = shared.split(',').filter_map(|part| {
        let id = part.split_once(':').map_or(part, |(id, _)| id);
        id.trim().parse::<PartId>().ok()
    });
    let mut seen = HashSet::default();
    let mut parts: Vec<_> = ids.filter(|id| seen.insert(*id)).collect();
    if parts.len() > PARTS_MAX {
        fastrand::shuffle(&mut parts);
        parts.truncate(PARTS_MAX);
    }
    parts
}
