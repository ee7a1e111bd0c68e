//! Fingerprints that identify repeated arrivals of the same request.

use crate::caller::Admitted;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use trouttrack_core::Fingerprint;

/// Length of the truncated digest. It is collision resistant, so no caller can build a request
/// that is taken for the request of another.
const FINGERPRINT_BYTES: usize = size_of::<Fingerprint>();

/// Digest over method, host, path, query, organisation and body. The request id is left out
/// because it differs for each arrival.
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
    let mut fingerprint_bytes = [0; FINGERPRINT_BYTES];
    fingerprint_bytes.copy_from_slice(&digest.finalize()[..FINGERPRINT_BYTES]);
    Fingerprint::from_be_bytes(fingerprint_bytes)
}
