//! Which arrivals are the same request.

use crate::caller::Admitted;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use trouttrack_core::Fingerprint;

/// Bytes of the digest that are kept. Of two requests that differ nobody can find a pair
/// with the same ones, so no caller can have another's request taken for its own.
const KEPT: usize = size_of::<Fingerprint>();

/// Tells a request by what its caller asks for: method, host, path, query and body, and
/// the organisation. Its id is left out, which is new with each arrival.
pub(crate) fn fingerprint(admitted: &Admitted, body: &Bytes) -> Fingerprint {
    let head = &admitted.head;
    let organisation = admitted.organisation.as_deref().unwrap_or_default();
    let parts = [
        head.method.as_str().as_bytes(),
        head.host.as_bytes(),
        head.target.as_bytes(),
        organisation.as_bytes(),
        body,
    ];
    let mut digest = Sha256::new();
    for part in parts {
        digest.update(part.len().to_be_bytes());
        digest.update(part);
    }
    let mut kept = [0; KEPT];
    kept.copy_from_slice(&digest.finalize()[..KEPT]);
    Fingerprint::from_be_bytes(kept)
}
