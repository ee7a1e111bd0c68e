//! TLS keys that are loaded again when their files change.

use crate::events;
use arc_swap::ArcSwap;
use rustls::ServerConfig;
use rustls::crypto::ring::{default_provider, sign::any_supported_type};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use trouttrack_config::settings::TlsSettings;

/// The TLS files cannot be used. The text never holds what is in them.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum TlsError {
    /// A file cannot be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// Which file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file is not PEM of the right kind.
    #[error("{}: not a PEM {what}", file.display())]
    Pem {
        /// Which file.
        file: PathBuf,
        /// What was expected.
        what: &'static str,
    },
    /// The key and the certificate do not fit.
    #[error("the key cannot be used with the certificate: {0}")]
    Mismatch(#[from] rustls::Error),
}

#[derive(Debug)]
struct Current(ArcSwap<CertifiedKey>);

impl ResolvesServerCert for Current {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.0.load_full())
    }
}

#[derive(Clone, PartialEq, Eq)]
struct Files {
    certificate: Vec<u8>,
    key: Vec<u8>,
}

impl Files {
    fn read(settings: &TlsSettings) -> Result<Self, TlsError> {
        let read = |file: &PathBuf| {
            std::fs::read(file).map_err(|source| TlsError::Read {
                file: file.clone(),
                source,
            })
        };
        Ok(Self {
            certificate: read(&settings.certificate)?,
            key: read(&settings.key)?,
        })
    }

    fn certified(&self, settings: &TlsSettings) -> Result<CertifiedKey, TlsError> {
        let bad = |file: &PathBuf, what| TlsError::Pem {
            file: file.clone(),
            what,
        };
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&self.certificate).collect();
        let chain = chain
            .ok()
            .filter(|c| !c.is_empty())
            .ok_or_else(|| bad(&settings.certificate, "certificate chain"))?;
        let key = PrivateKeyDer::from_pem_slice(&self.key)
            .map_err(|_| bad(&settings.key, "private key"))?;
        let certified = CertifiedKey::new(chain, any_supported_type(&key)?);
        certified.keys_match()?;
        Ok(certified)
    }
}

/// Looks at the files again and swaps the key in use.
pub struct Reloader {
    settings: TlsSettings,
    seen: Files,
    current: Arc<Current>,
}

impl std::fmt::Debug for Reloader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reloader")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Reloader {
    /// Loads the files again if they changed. Returns whether they did.
    ///
    /// Connections that are open keep the key that they were made with.
    ///
    /// # Errors
    ///
    /// The new files cannot be used; the old key stays in use.
    pub fn check(&mut self) -> Result<bool, TlsError> {
        let files = Files::read(&self.settings)?;
        if files == self.seen {
            return Ok(false);
        }
        let certified = files.certified(&self.settings)?;
        self.current.0.store(Arc::new(certified));
        self.seen = files;
        Ok(true)
    }

    /// Looks at the files for as long as the process lives, logging what
    /// happens; `face` says whose connections the key is for.
    pub async fn follow(mut self, every: Duration, face: &str) {
        loop {
            tokio::time::sleep(every).await;
            match self.check() {
                Ok(true) => events::KEYS_RELOADED.log(format_args!("face={face}")),
                Ok(false) => {}
                Err(e) => events::KEYS_REFUSED.log(format_args!("face={face}: {e}")),
            }
        }
    }
}

/// Loads the files and makes a server's configuration that follows them.
///
/// # Errors
///
/// The files cannot be used.
pub fn server_config(settings: &TlsSettings) -> Result<(ServerConfig, Reloader), TlsError> {
    let seen = Files::read(settings)?;
    let certified = seen.certified(settings)?;
    let current = Arc::new(Current(ArcSwap::from_pointee(certified)));
    let config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_cert_resolver(current.clone());
    let reloader = Reloader {
        settings: settings.clone(),
        seen,
        current,
    };
    Ok((config, reloader))
}
