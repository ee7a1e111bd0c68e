//! Keys that cannot be used are refused, and the message shows nothing of them.

use std::path::PathBuf;
use std::time::Duration;
use trouttrack_config::settings::TlsSettings;
use trouttrack_telemetry::tls::server_config;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("trouttrack-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        Self(dir)
    }

    fn settings(&self, certificate: &str, key: &str) -> TlsSettings {
        let settings = TlsSettings {
            certificate: self.0.join("cert.pem"),
            key: self.0.join("key.pem"),
            reload: Duration::from_secs(1),
        };
        std::fs::write(&settings.certificate, certificate).unwrap();
        std::fs::write(&settings.key, key).unwrap();
        settings
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).unwrap();
    }
}

fn pair() -> (String, String) {
    let made = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).unwrap();
    (made.cert.pem(), made.signing_key.serialize_pem())
}

#[test]
fn files_that_cannot_be_used_are_refused() {
    let folder = Folder::new("refused");
    let (certificate, key) = pair();
    let (_, other) = pair();
    for (c, k) in [
        ("nothing", key.as_str()),
        (certificate.as_str(), "nothing"),
        (certificate.as_str(), other.as_str()),
    ] {
        let error = server_config(&folder.settings(c, k))
            .unwrap_err()
            .to_string();
        assert!(!error.contains("BEGIN"), "{error}");
    }
}

#[test]
fn a_change_is_taken_once_and_a_broken_one_not_at_all() {
    let folder = Folder::new("changed");
    let (certificate, key) = pair();
    let (_, mut reloader) = server_config(&folder.settings(&certificate, &key)).unwrap();
    assert!(!reloader.check().unwrap());
    let (certificate, key) = pair();
    folder.settings(&certificate, &key);
    assert!(reloader.check().unwrap());
    assert!(!reloader.check().unwrap());
    folder.settings("broken", &key);
    assert!(reloader.check().is_err());
}
