//! Calls to the administration API.

use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::http::header::AUTHORIZATION;
use awc::{Client, ClientRequest, Connector};
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use rustls::{ClientConfig, RootCertStore};
use serde::Deserialize;
use serde_json::Value;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// A change may wait to be in force, and a lost reply is settled first.
const TIMEOUT: Duration = Duration::from_secs(30);
/// The largest answer taken.
const MAX_ANSWER: usize = 64 << 20;

/// A call could not be made.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ClientError {
    /// The API does not answer.
    #[error("{0} does not answer: {1}")]
    NoAnswer(String, String),
    /// The certificate file cannot be used.
    #[error("{0}: {1}")]
    Certificate(String, String),
}

/// An answer: its status and its body.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiAnswer {
    /// The status.
    pub status: u16,
    /// The body, if it is JSON.
    pub json: Value,
    /// The body as text.
    pub text: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorPart,
}

#[derive(Deserialize)]
struct ErrorPart {
    message: String,
}

impl ApiAnswer {
    /// The message of an error body.
    #[must_use]
    pub fn error_message(&self) -> Option<String> {
        let body: ErrorBody = serde_json::from_value(self.json.clone()).ok()?;
        Some(body.error.message)
    }
}

/// Calls one API.
pub struct ApiClient {
    base: String,
    key: String,
    client: Client,
}

impl std::fmt::Debug for ApiClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ApiClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

fn tls(ca: &Path) -> Result<ClientConfig, ClientError> {
    let wrong = |e: String| ClientError::Certificate(ca.display().to_string(), e);
    let mut roots = RootCertStore::empty();
    let certificates = CertificateDer::pem_file_iter(ca).map_err(|e| wrong(e.to_string()))?;
    for c in certificates {
        let c = c.map_err(|e| wrong(e.to_string()))?;
        roots.add(c).map_err(|e| wrong(e.to_string()))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| wrong(e.to_string()))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(config)
}

impl ApiClient {
    /// A client for `base`, with an operator's key. `ca` holds the PEM
    /// certificates that are trusted for `https`.
    ///
    /// # Errors
    ///
    /// The certificate file cannot be used.
    pub fn new(base: &str, key: &str, ca: Option<&Path>) -> Result<Self, ClientError> {
        let connector = match ca {
            Some(ca) => Connector::new().rustls_0_23(Arc::new(tls(ca)?)),
            None => Connector::new(),
        };
        Ok(Self {
            base: base.trim_end_matches('/').to_owned(),
            key: key.to_owned(),
            client: Client::builder()
                .connector(connector)
                .timeout(TIMEOUT)
                .finish(),
        })
    }

    fn authorised(&self, req: ClientRequest) -> ClientRequest {
        req.insert_header((AUTHORIZATION, format!("Bearer {}", self.key)))
    }

    fn no_answer(&self, e: &dyn std::fmt::Display) -> ClientError {
        ClientError::NoAnswer(self.base.clone(), e.to_string())
    }

    /// Sends a command.
    ///
    /// # Errors
    ///
    /// The API does not answer.
    pub async fn command(&self, text: &str, base: Option<u64>) -> Result<ApiAnswer, ClientError> {
        let req = self.client.post(format!("{}/v1/command", self.base));
        let body = serde_json::json!({ "text": text, "base": base });
        self.send(self.authorised(req).send_json(&body)).await
    }

    /// Puts a fleet file in the place of the whole configuration.
    ///
    /// # Errors
    ///
    /// The API does not answer.
    pub async fn apply(&self, ini: String, base: Option<u64>) -> Result<ApiAnswer, ClientError> {
        let query = base.map_or_else(String::new, |b| format!("?base={b}"));
        let req = self.client.put(format!("{}/v1/config{query}", self.base));
        self.send(self.authorised(req).send_body(ini)).await
    }

    /// Reads the whole configuration as a fleet file.
    ///
    /// # Errors
    ///
    /// The API does not answer.
    pub async fn export(&self) -> Result<ApiAnswer, ClientError> {
        let req = self.client.get(format!("{}/v1/config", self.base));
        self.send(self.authorised(req).send()).await
    }

    /// Asks what became of a change.
    ///
    /// # Errors
    ///
    /// The API does not answer.
    pub async fn change_state(&self, id: &str, base: u64) -> Result<ApiAnswer, ClientError> {
        let url = format!("{}/v1/changes/{id}?base={base}", self.base);
        self.send(self.authorised(self.client.get(url)).send())
            .await
    }

    async fn send(
        &self,
        sent: impl Future<Output = Result<awc::ClientResponse, SendRequestError>>,
    ) -> Result<ApiAnswer, ClientError> {
        let mut res = sent.await.map_err(|e| self.no_answer(&e))?;
        let status: StatusCode = res.status();
        let body = res.body().limit(MAX_ANSWER).await;
        let body = body.map_err(|e| self.no_answer(&e))?;
        Ok(ApiAnswer {
            status: status.as_u16(),
            json: serde_json::from_slice(&body).unwrap_or(Value::Null),
            text: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}
