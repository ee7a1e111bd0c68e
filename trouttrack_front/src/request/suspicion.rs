//! Whether upstreams end under a request.

use super::attempt::AttemptFailure;
use super::end::End;
use super::fingerprint::fingerprint;
use crate::caller::Admitted;
use crate::state::{Front, Upstream};
use bytes::Bytes;
use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Fingerprint;
use trouttrack_http::{Presence, SendErrorKind};

/// How long an attempt that broke off waits to learn whether its upstream ended, before
/// the request is sent to the next one: many times the way between failure domains.
const LEARN: Duration = Duration::from_millis(50);

/// How long a process may take to end after its connections have: a small part of the time
/// in which all VMs must know of it.
const ENDS_WITHIN: Duration = Duration::from_millis(300);

/// How often that is looked at while its connections do not last, and the pause between.
const LOOKS: u32 = 8;
const BETWEEN_LOOKS: Duration = Duration::from_millis(20);

/// What is known against one arrival of a request. The digest is made when something is
/// known against any request, or when an attempt breaks off.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    fingerprint: OnceCell<Fingerprint>,
}

impl Suspicion {
    /// The request's fingerprint.
    pub(super) fn fingerprint(&self, admitted: &Admitted, body: &Bytes) -> Fingerprint {
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
        front: &Rc<Front>,
        admitted: &Admitted,
        body: &Bytes,
        upstream: &Rc<Upstream>,
        failure: &AttemptFailure,
    ) {
        if !failure.broke_off() || upstream.is_leaving() {
            return;
        }
        let request = self.fingerprint(admitted, body);
        let asked = tokio::time::timeout(LEARN, front.http.probe(upstream.addr)).await;
        match asked {
            Ok(Err(e)) if e.kind == SendErrorKind::NobodyThere => {
                front.suspects.ended(request, upstream);
            }
            Ok(Ok(presence)) => {
                let (front, upstream) = (Rc::clone(front), Rc::clone(upstream));
                actix_rt::spawn(look_again(front, upstream, request, presence));
            }
            _ => {}
        }
    }

    /// A run came to its end.
    pub(super) fn record_completed_run(&self, front: &Front, admitted: &Admitted, body: &Bytes) {
        if !front.suspects.is_empty() {
            front
                .suspects
                .record_completed_run(self.fingerprint(admitted, body));
        }
    }
}

/// A process that ends may break off its connections before it closes its port, and what
/// stands before it may take connections up for a moment longer: they do not last.
async fn look_again(
    front: Rc<Front>,
    upstream: Rc<Upstream>,
    request: Fingerprint,
    mut presence: Presence,
) {
    for _ in 0..LOOKS {
        if presence.lasts(ENDS_WITHIN).await {
            return;
        }
        tokio::time::sleep(BETWEEN_LOOKS).await;
        match front.http.probe(upstream.addr).await {
            Ok(next) => presence = next,
            Err(e) if e.kind == SendErrorKind::NobodyThere => {
                front.suspects.ended(request, &upstream);
                return;
            }
            Err(_) => return,
        }
    }
}
