//! Type aliases for identifiers that are shared between crates.

use std::time::Duration;

/// A point in time, as the duration since the process (or the benchmark) started.
pub type Time = Duration;
/// Name of an organisation, unique within a fleet.
pub type OrganisationId = String;
/// Name of a service, unique within a fleet.
pub type ServiceId = String;
/// Name of an upstream, unique within a fleet.
pub type UpstreamId = String;
/// Name of a failure domain.
pub type FailureDomain = String;
/// ID assigned to a request and returned to its caller.
pub type RequestId = String;
/// ID that the gateway assigns to one dispatch of a request; an upstream runs each ID at most
/// once.
pub type StreamId = String;
/// Content hash of a request. Equal for repeated submissions of the same request, which have
/// different IDs.
pub type Fingerprint = u128;
/// Opaque id of a part of a prompt that requests share.
pub type PartId = u64;
/// Engine-assigned number of one generation of an answer.
pub type Generation = u64;
/// Zero-based position of a token within its generation.
pub type TokenIndex = u64;
/// Version of an upstream's software; empty if it is not known. Versions have no order.
pub type SoftwareVersion = String;
/// Hash of a service and a version of its upstreams' software.
pub type OriginId = u64;
/// Hash of the id of the attempt that brought a stream's first event.
pub type StreamKey = u64;
/// Number of times the platform's store has been restored from a backup.
pub type StoreEpoch = u64;
/// Version of the fleet configuration; increases monotonically.
pub type ConfigVersion = u64;
