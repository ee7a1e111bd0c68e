//! Finds out at which service and software version a returning caller's stream goes on.

use crate::caller::Admitted;
use crate::peers::{FoundOrigin, find_origin};
use crate::request::end::End;
use crate::state::Front;
use trouttrack_core::versions::{Resolution, origin_id};
use trouttrack_core::{OriginId, ServiceId, SoftwareVersion};
use trouttrack_telemetry::{events, record};

/// Where a stream begins, or goes on.
#[derive(Debug)]
pub(super) struct Begin {
    pub(super) service: ServiceId,
    /// The version that began the stream; `None` if it has not begun.
    pub(super) version: Option<SoftwareVersion>,
}

/// Selects the service of a request, and the version if its caller takes up a stream.
///
/// # Errors
///
/// The version that began the stream is not known, or none of its upstreams is left. Nothing has
/// run.
pub(super) async fn begin(front: &Front, admitted: &Admitted) -> Result<Begin, End> {
    let route = &admitted.route;
    if admitted.head.last_event.is_none() {
        let service = route.sample_service(&mut rand::rng()).cloned();
        let service = service.ok_or_else(|| End::not_run("the route has no service"))?;
        return Ok(Begin {
            service,
            version: None,
        });
    }
    let services: Vec<ServiceId> = route.shares.iter().map(|s| s.service.clone()).collect();
    let first_attempt = admitted.head.resumes.as_deref().unwrap_or_default();
    let found = find_origin(front, first_attempt, &services).await;
    let begun_by = |origin: OriginId| {
        front.upstreams.find_version(|u| {
            services.contains(&u.service) && origin_id(&u.service, u.version()) == origin
        })
    };
    let (result, begun) = match found.resolution {
        Resolution::Known(origin) => match begun_by(origin) {
            Some(begun) => ("known", Ok(begun)),
            None => (
                "gone",
                Err("no upstream runs the version that began the stream"),
            ),
        },
        Resolution::Unknown => (
            "unknown",
            Err("the version that began the stream is not known"),
        ),
    };
    let version = begun.as_ref().map_or("", |(_, version)| version.as_str());
    record_taken_up(front, admitted, &found, (result, version));
    front.metrics.taken_up.with_label_values(&[result]).inc();
    let (service, version) = begun.map_err(End::not_run)?;
    Ok(Begin {
        service,
        version: Some(version),
    })
}

fn record_taken_up(
    front: &Front,
    admitted: &Admitted,
    found: &FoundOrigin,
    (result, version): (&str, &str),
) {
    record!(
        events::TAKEN_UP,
        request = admitted.head.id.as_str(),
        resumes = admitted.head.resumes.as_deref(),
        last_event = admitted.head.last_event.as_deref(),
        result = result,
        version = version,
        by_vm = found.by_vm,
        asked = found.asked,
        answered = found.answered,
        up_ms = front.clock.now().as_millis() as u64,
    );
}
