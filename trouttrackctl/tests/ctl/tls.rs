//! The operators' face over TLS.

use std::path::PathBuf;
use trouttrack_config::settings::{ControllerSettings, load_text};
use trouttrack_controller::app::start;
use trouttrackctl::client::ApiClient;

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let dir = std::env::temp_dir().join(format!("trouttrack-ctl-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        Self(dir)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).unwrap();
    }
}

fn certificate(dir: &Folder, name: &str) -> (PathBuf, PathBuf) {
    let made = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).unwrap();
    let certificate = dir.0.join(format!("{name}-cert.pem"));
    let key = dir.0.join(format!("{name}-key.pem"));
    std::fs::write(&certificate, made.cert.pem()).unwrap();
    std::fs::write(&key, made.signing_key.serialize_pem()).unwrap();
    (certificate, key)
}

#[actix_rt::test]
async fn a_trusted_certificate_is_needed() {
    let dir = Folder::new();
    let (certificate_file, key) = certificate(&dir, "own");
    let (other, _) = certificate(&dir, "other");
    let text = format!(
        "[vm]\nname = c\nfailure_domain = a\n[platform]\nurl = http://127.0.0.1:1\ntimeout = 100ms\n\
         [admin]\nlisten = 127.0.0.1:0\nkey = anna:viewer:secret\n[tls]\ncertificate = {}\nkey = {}\n",
        certificate_file.display(),
        key.display()
    );
    let controller = start(load_text::<ControllerSettings>("c", &text).unwrap()).unwrap();
    let url = format!("https://{}", controller.admin_addr);
    let ask = async |ca: &PathBuf, key: &str| {
        let client = ApiClient::new(&url, key, Some(ca)).unwrap();
        client.command("show vms", None).await
    };
    assert_eq!(ask(&certificate_file, "secret").await.unwrap().status, 200);
    assert_eq!(ask(&certificate_file, "wrong").await.unwrap().status, 401);
    assert!(ask(&other, "secret").await.is_err());
    controller.stop().await;
}
