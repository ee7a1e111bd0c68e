//! TLS on the callers' face, with keys that change while connections stay.

use crate::support::{Bed, KEY, body, post, settings, settings_text, until};
use awc::{Client, Connector};
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use rustls::{ClientConfig, RootCertStore};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use trouttrack_gateway::app::start;

struct Pair {
    certificate: String,
    key: String,
}

fn pair() -> Pair {
    let made = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).unwrap();
    Pair {
        certificate: made.cert.pem(),
        key: made.signing_key.serialize_pem(),
    }
}

fn write(dir: &Path, pair: &Pair) {
    std::fs::write(dir.join("key.pem"), &pair.key).unwrap();
    std::fs::write(dir.join("cert.pem"), &pair.certificate).unwrap();
}

fn client(pair: &Pair) -> Client {
    let mut roots = RootCertStore::empty();
    roots
        .add(CertificateDer::from_pem_slice(pair.certificate.as_bytes()).unwrap())
        .unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = Connector::new().rustls_0_23(Arc::new(config));
    Client::builder()
        .connector(connector)
        .timeout(Duration::from_secs(20))
        .finish()
}

fn folder() -> PathBuf {
    let dir = std::env::temp_dir().join(format!("trouttrack-tls-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

#[actix_web::test]
async fn keys_are_reloaded_without_dropping_connections() {
    let bed = Bed::new(0).await;
    let dir = folder();
    let (old, new) = (pair(), pair());
    write(&dir, &old);
    let extra = format!(
        "[caller]\nlisten = 127.0.0.1:0\nworkers = 1\nhandle_secret = shared\n\
         [tls]\ncertificate = {0}/cert.pem\nkey = {0}/key.pem\nreload = 20ms\n",
        dir.display()
    );
    let text = settings_text(&bed.platform.url(), "gateway-tls", &extra);
    let gateway = start(settings(&text)).await.unwrap();
    let shared = gateway.shared.clone();
    until("a configuration is in force", || {
        shared.view().version() > 0
    })
    .await;
    let url = format!("https://{}", gateway.caller_addr);

    let with_old = client(&old);
    let long = body("stream-many", "over the old key", 600, true);
    let streaming = post(&with_old, &url, KEY, &long);
    let changes = async {
        until("it streams", || !bed.runs("over the old key").is_empty()).await;
        write(&dir, &new);
        // A new connection is made until it is met with the new certificate.
        let short = body("stream-many", "over the new key", 3, true);
        loop {
            let with_new = client(&new);
            let req = with_new.post(format!("{url}/v1/completions"));
            match req.bearer_auth(KEY).send_json(&short).await {
                Ok(res) => break assert!(res.status().is_success()),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
        // Files that cannot be used leave the key in use as it is.
        std::fs::write(dir.join("cert.pem"), "broken").unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let answer = post(&client(&new), &url, KEY, &short).await;
        assert_eq!(answer.outcome, "complete");
    };
    let (answer, ()) = futures_util::join!(streaming, changes);
    assert_eq!(answer.outcome, "complete");
    std::fs::remove_dir_all(&dir).unwrap();
}
