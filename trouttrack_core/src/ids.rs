//! Aliases for the identifiers that cross crate borders.

use std::time::Duration;

/// A point in time, as the duration since the process (or the bench) started.
pub type Time = Duration;
/// Name of an organisation, unique in a fleet.
pub type OrganisationId = String;
/// Name of a service, unique in a fleet.
pub type ServiceId = String;
/// Name of an upstream, unique in a fleet.
pub type UpstreamId = String;
/// Name of a failure domain.
pub type FailureDomain = String;
/// The id a caller is given for its request.
pub type RequestId = String;
/// The id that the gateway gives to one hand-over; an upstream runs it at most once.
pub type StreamId = String;
/// What two arrivals of the same request have in common, whatever their ids.
pub type Fingerprint = u128;
/// The engine's number for one generation of one answer.
pub type Generation = u64;
/// Zero-based position of a token in its generation.
pub type TokenIndex = u64;
/// Number of times the platform's store has been restored from a backup.
pub type StoreEpoch = u64;
/// Version of the fleet configuration; only ever grows.
pub type ConfigVersion = u64;
