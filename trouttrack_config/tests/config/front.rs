//! The front's settings.

use std::time::Duration;
use trouttrack_config::settings::{FrontSettings, Program, keys_of, load_text};

const LEAST: &str = "[vm]\nname = a\nfailure_domain = z\n[platform]\nurl = http://10.0.0.7:8742\n";

fn load(more: &str) -> Result<FrontSettings, String> {
    load_text("f.ini", &format!("{LEAST}{more}")).map_err(|findings| findings.to_string())
}

#[test]
fn the_least_that_must_be_given() {
    let settings = load("").expect("settings");
    assert_eq!(settings.store.addr.to_string(), "10.0.0.7:8742");
    assert!(settings.serving.rescue);
    assert_eq!(settings.serving.backup_below, 0.0);
}

#[test]
fn durations_may_have_a_fraction() {
    let settings = load("[bounds]\nrevoke = 4.6s\ngrace = 0.5ms\n").expect("settings");
    assert_eq!(settings.bounds.revoke, Duration::from_millis(4600));
    assert_eq!(settings.bounds.grace, Duration::from_micros(500));
}

/// Guards against a duration that overflows when it is added to a time.
#[test]
fn durations_can_be_added_to_a_time() {
    for long in ["1e19s", "18446744073709551615s", "1e22ms"] {
        let settings = load(&format!("[bounds]\nrevoke = {long}\n")).expect("settings");
        let start = Duration::from_secs(1 << 40);
        assert!(
            start.checked_add(settings.bounds.revoke).is_some(),
            "{long}"
        );
    }
}

/// Guards against a number that is none and within all bounds.
#[test]
fn numbers_that_are_none_are_out_of_bounds() {
    for key in ["ratio", "extra"] {
        for number in ["NaN", "inf", "-inf", "1e400"] {
            assert!(
                load(&format!("[retry]\n{key} = {number}\n")).is_err(),
                "{key} = {number}"
            );
        }
    }
}

#[test]
fn what_is_wrong_is_found_with_its_place() {
    for (more, finding) in [
        ("[bounds]\nrevoke = soon\n", "f.ini:7: [bounds] revoke"),
        ("[bounds]\nrevoke = -1s\n", "f.ini:7: [bounds] revoke"),
        ("[serving]\nrescue = maybe\n", "must be on or off"),
        ("[serving]\nbackup_below = 2\n", "must be from 0 to 1"),
        ("[retry]\nratoi = 0.1\n", "did you mean `ratio`?"),
        ("[front]\nlisten = nowhere\n", "[front] listen"),
    ] {
        let findings = load(more).expect_err(more);
        assert!(findings.contains(finding), "{more}: {findings}");
    }
    for url in ["", "http://store.example:80", "10.0.0.7"] {
        let text = LEAST.replace("http://10.0.0.7:8742", url);
        let found = load_text::<FrontSettings>("f.ini", &text).expect_err(url);
        assert!(
            found.to_string().contains("[platform] url"),
            "{url}: {found}"
        );
    }
}

#[test]
fn bounds_of_buffers_hold_one_another() {
    let settings = load("[buffers]\nrequest = 64KiB\norganisation = 1MiB\nvm = 4MiB\n");
    let buffers = settings.expect("settings").buffers;
    let bounds = [buffers.request, buffers.organisation, buffers.vm];
    assert_eq!(bounds, [64 << 10, 1 << 20, 4 << 20]);
    for (more, finding) in [
        ("[buffers]\nrequest = 1KiB\n", "f.ini:7: [buffers] request"),
        (
            "[buffers]\norganisation = 64KiB\n",
            "f.ini:7: [buffers] organisation",
        ),
        ("[buffers]\nvm = 1MiB\n", "f.ini:7: [buffers] vm"),
        ("[buffers]\nvm = much\n", "f.ini:7: [buffers] vm"),
    ] {
        let findings = load(more).expect_err(more);
        assert!(findings.contains(finding), "{more}: {findings}");
    }
}

#[test]
fn documented_bounds_of_buffers_are_the_defaults() {
    let documented: String = keys_of(Program::Front)
        .filter(|k| k.section == "buffers")
        .map(|k| format!("{} = {}\n", k.key, k.default))
        .collect();
    let settings = load(&format!("[buffers]\n{documented}")).expect("settings");
    assert_eq!(settings.buffers, load("").expect("settings").buffers);
}
