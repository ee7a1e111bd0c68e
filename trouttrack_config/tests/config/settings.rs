//! Settings files.

use proptest::prelude::*;
use std::path::Path;
use trouttrack_config::settings::{
    ControllerSettings, GatewaySettings, Program, keys_of, load, load_text, reference,
};

#[test]
fn ten_mistakes_are_reported_together() {
    let text = "\
[vm]
nmae = g1
failure_domain =
failure_domain = b
[log]
format = xml
level = loud
[caller]
listen = nowhere
max_body = many
workers = 0
this line is nothing
[platform]
url = ftp://p
[tls]
certificate = c.pem
[queue]
depth = 3
";
    let findings = load_text::<GatewaySettings>("gateway.ini", text).unwrap_err();
    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn a_controllers_mistakes_never_show_its_keys() {
    let text = "\
[vm]
name = c1
failure_domain = a
[platform]
url = http://p
[admin]
key = anna:operator:s3cret-one, ben:boss:s3cret-two, s3cret-three
";
    let findings = load_text::<ControllerSettings>("controller.ini", text).unwrap_err();
    let text = findings.to_string();
    assert!(!text.contains("s3cret"), "{text}");
    insta::assert_snapshot!(text);
}

#[test]
fn a_file_that_is_not_there_is_one_finding() {
    let findings = load::<GatewaySettings>(Path::new("/nowhere/gateway.ini")).unwrap_err();
    assert_eq!(findings.iter().count(), 1);
}

#[test]
fn the_reference_page_is_the_one_in_the_docs() {
    let page = include_str!("../../../docs/SETTINGS.md");
    assert_eq!(
        page,
        reference(),
        "write docs/SETTINGS.md anew: cargo run -p trouttrack_config --example reference"
    );
}

/// A default that is written down is the default in force: a file that gives
/// every documented default reads the same as one that gives none.
#[test]
fn documented_defaults_are_the_defaults() {
    let least = "[vm]\nname = g\nfailure_domain = a\n[platform]\nurl = http://p\n[caller]\nhandle_secret = s\n";
    let mut full = String::new();
    let mut section = "";
    for k in keys_of(Program::Gateway) {
        if k.section != section {
            section = k.section;
            full += &format!("[{section}]\n");
        }
        let value = match (k.section, k.key) {
            ("vm", "name") => "g",
            ("vm", "failure_domain") => "a",
            ("platform", "url") => "http://p",
            ("caller", "handle_secret") => "s",
            _ if k.default.is_empty() => continue,
            _ => k.default,
        };
        full += &format!("{} = {value}\n", k.key);
    }
    let a = load_text::<GatewaySettings>("a", least).unwrap();
    let b = load_text::<GatewaySettings>("b", &full).unwrap();
    assert_eq!(format!("{a:?}"), format!("{b:?}"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_read_or_reported(text in "(\\[[a-z]{0,8}\\]?|[a-z_]{0,8} ?=? ?.{0,12}|#.*|\\PC{0,20})(\n(\\[(vm|log|caller|tls)\\]|[a-z_]{1,10} = \\PC{0,10})){0,12}") {
        if let Err(findings) = load_text::<GatewaySettings>("x.ini", &text) {
            // A lone carriage return ends a line too.
            let lines = text.split(['\r', '\n']).count() as u32 + 1;
            for f in findings.iter() {
                prop_assert!(f.line <= lines, "{f}");
            }
        }
    }
}
