//! Whether upstreams end under a request.

use super::attempt::AttemptFailure;
use super::end::End;
use super::fingerprint::fingerprint;
use crate::caller::Admitted;
use crate::state::{Front, Upstream};
use bytes::Bytes;
use std::cell::OnceCell;
use std::time::Duration;
use trouttrack_core::Fingerprint;
use trouttrack_http::SendErrorKind;

/// How long an attempt that broke off waits to learn whether its upstream ended, before
/// the request is sent to the next one: many times the way between failure domains.
const LEARN: Duration = Duration::from_millis(50);

/// What is known against one arrival of a request. The digest is made when something is
/// known against any request, or when an attempt breaks off.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    fingerprint: OnceCell<Fingerprint>,
}

impl Suspicion {
    fn fingerprint(&self, admitted: &Admitted, body: &Bytes) -> Fingerprint {
        *self.fingerprint.get_or_init(|| fingerprint(admitted, body))
    }

    /// The end of a request that no upstream is to run. What has been tried may have run.
    pub(super) fn held(&self, front: &Front, admitted: &Admitted, body: &Bytes) -> Option<End> {
        if front.suspects.is_empty() {
            return None;
        }
        let hold = front.suspects.hold(self.fingerprint(admitted, body))?;
        Some(End::held(hold))
    }

    /// An attempt failed. If its upstream ended, that speaks against the request, unless
    /// the upstream had announced that it leaves.
    pub(super) async fn failed(
        &self,
        front: &Front,
        admitted: &Admitted,
        body: &Bytes,
        upstream: &Upstream,
        failure: &AttemptFailure,
    ) {
        if !failure.broke_off() || upstream.is_leaving() {
            return;
        }
        let asked = tokio::time::timeout(LEARN, front.http.probe(upstream.addr)).await;
        let ended = matches!(asked, Ok(Err(e)) if e.kind == SendErrorKind::NobodyThere);
        if ended {
            front
                .suspects
                .ended(self.fingerprint(admitted, body), upstream);
        }
    }

    /// A run came to its end.
    pub(super) fn ran_well(&self, front: &Front, admitted: &Admitted, body: &Bytes) {
        if !front.suspects.is_empty() {
            front.suspects.ran_well(self.fingerprint(admitted, body));
        }
    }
}
