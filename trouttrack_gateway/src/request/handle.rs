//! Sealed handles by which a caller comes back to any gateway.
//!
//! A handle names the organisation, the upstream and the stream. It is sealed
//! with HMAC-SHA-256 under a secret that all gateways of a fleet share, so no
//! state has to be shared and none can be forged.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;
use trouttrack_core::{Generation, OrganisationId, RequestId, ServiceId, StreamId, UpstreamId};

/// What a handle says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handle {
    /// The id that the caller was given.
    pub request: RequestId,
    /// Whose request it is.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceId,
    /// The upstream that has the stream.
    pub upstream: UpstreamId,
    /// The stream.
    pub stream: StreamId,
    /// The generation that the caller has a part of.
    pub generation: Generation,
    /// Whether it is a chat completion.
    pub chat: bool,
}

/// A handle that is not taken.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum HandleError {
    /// It is not of the form of a handle, or its seal is wrong.
    #[error("the handle is not valid")]
    Invalid,
}

/// Seals handles and opens them.
#[derive(Clone)]
pub struct Sealer {
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for Sealer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sealer").finish_non_exhaustive()
    }
}

impl Sealer {
    /// A sealer under a secret.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_gateway::request::{Handle, Sealer};
    /// let handle = Handle {
    ///     request: "r-1".into(),
    ///     organisation: "o".into(),
    ///     service: "s".into(),
    ///     upstream: "e1".into(),
    ///     stream: "x".into(),
    ///     generation: 7,
    ///     chat: false,
    /// };
    /// let text = Sealer::new("secret").seal(&handle);
    /// assert_eq!(Sealer::new("secret").open(&text), Ok(handle));
    /// assert!(Sealer::new("other").open(&text).is_err());
    /// ```
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self {
            mac: Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length"),
        }
    }

    /// Seals a handle.
    #[must_use]
    pub fn seal(&self, handle: &Handle) -> String {
        let body = serde_json::to_vec(handle).expect("a handle serialises to JSON");
        let mut mac = self.mac.clone();
        mac.update(&body);
        let seal = mac.finalize().into_bytes();
        format!(
            "{}.{}",
            URL_SAFE_NO_PAD.encode(body),
            URL_SAFE_NO_PAD.encode(seal)
        )
    }

    /// Opens a handle.
    ///
    /// # Errors
    ///
    /// It was not sealed under this secret.
    pub fn open(&self, text: &str) -> Result<Handle, HandleError> {
        let (body, seal) = text.split_once('.').ok_or(HandleError::Invalid)?;
        let decode = |t: &str| URL_SAFE_NO_PAD.decode(t).map_err(|_| HandleError::Invalid);
        let (body, seal) = (decode(body)?, decode(seal)?);
        let mut mac = self.mac.clone();
        mac.update(&body);
        mac.verify_slice(&seal).map_err(|_| HandleError::Invalid)?;
        serde_json::from_slice(&body).map_err(|_| HandleError::Invalid)
    }
}
