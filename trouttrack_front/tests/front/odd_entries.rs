//! Entries of another writer that nest deeply, hold numbers out of range or are not JSON.

use crate::support::{Bed, PLAIN, plain, settings, until};
use std::rc::Rc;
use trouttrack_front::app::{Running, start};
use trouttrack_front::state::Front;
use trouttrack_platform_standin::Store;

/// Levels of nesting up to about the size of an object that a store accepts.
const DEPTHS: [usize; 3] = [300, 10_000, 500_000];

/// Texts that name no upstream.
fn odd_texts(sound: &str) -> Vec<String> {
    let with = |field: &str, value: &str| {
        let entry: serde_json::Value = serde_json::from_str(sound).expect("a sound entry");
        let known = format!("\"{field}\":{}", entry[field]);
        assert!(sound.contains(&known), "{known} in {sound}");
        sound.replace(&known, &format!("\"{field}\":{value}"))
    };
    let nested = DEPTHS.into_iter().flat_map(|depth| {
        let list = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
        let object = format!("{}1{}", r#"{"a":"#.repeat(depth / 5), "}".repeat(depth / 5));
        [list.clone(), object, with("slots", &list)]
    });
    let numbers = [
        "1e400",
        "-1e400",
        "1e300",
        "1e22",
        "18446744073709549568000",
        "18446744073709551615",
        "18446744073709551616",
        "99999999999999999999999999999999999999999999",
        "Infinity",
        "-Infinity",
        "NaN",
        "0x10",
        "01",
        ".5",
        "+1",
    ];
    let numbers = numbers.into_iter().flat_map(|number| {
        let fields = ["slots", "cold_left_ms", "address", "zone"];
        fields.map(|field| with(field, number))
    });
    let addresses = [
        "127.0.0.1:70000",
        "127.0.0.1:-1",
        "127.0.0.1:0",
        "[::1]:99999",
        "0.0.0.0:80",
    ];
    let addresses = addresses.map(|address| with("address", &format!("\"{address}\"")));
    let texts = [
        "\"a\u{1}b\"",
        r#""\x""#,
        r#""\ud800""#,
        r#"{"service":"\ud800"}"#,
        "undefined",
        "None",
        "'single'",
    ];
    let names = with("service", &format!("\"{}\"", "x".repeat(200_000)));
    nested
        .chain(numbers)
        .chain(addresses)
        .chain(texts.map(str::to_owned))
        .chain([names])
        .collect()
}

fn shown(text: &str) -> String {
    text.chars().take(200).collect()
}

fn is_used(front: &Front, id: &str) -> bool {
    front.upstreams.get(id).is_some_and(|u| !u.is_leaving())
}

async fn start_front(store: &Store, name: &str) -> Running {
    start(&settings(store, name, "")).await.expect("a front")
}

/// Guards against an odd entry that makes the whole answer of the store unreadable, so that a VM
/// no longer follows the other entries, and against numbers that end the process or a task.
#[actix_rt::test]
async fn an_odd_entry_removes_only_its_upstream() {
    let bed = Bed::new(PLAIN).await;
    let other = start_front(&bed.store, "front-2").await;
    until("the second VM is ready", || {
        other.front.lifecycle.is_ready()
    })
    .await;
    let fronts = [Rc::clone(&bed.front.front), Rc::clone(&other.front)];
    let sound = bed.store.entry_text("u1");
    for (n, odd) in odd_texts(&sound).iter().enumerate() {
        bed.store.put_entry_text("u1", odd);
        for front in &fronts {
            let what = format!("u1 is not used with the entry {}", shown(odd));
            until(&what, || !is_used(front, "u1")).await;
            assert!(is_used(front, "u2"));
        }
        // Another entry that changes while the odd one is there is followed.
        bed.store.put_upstream(&bed.upstreams[0], false);
        for front in &fronts {
            let what = format!("u1 is used again after {}", shown(odd));
            until(&what, || is_used(front, "u1")).await;
        }
        if n % 16 == 0 {
            let reply = bed.send(&plain(&format!("r{n}"), "many")).await;
            assert_eq!(reply.status, 200);
        }
    }
}

/// Guards against odd entries that are there when a VM starts, at any place of a page.
#[actix_rt::test]
async fn a_vm_that_starts_beside_odd_entries_uses_the_others() {
    let bed = Bed::new(PLAIN).await;
    let sound = bed.store.entry_text("u1");
    let texts = odd_texts(&sound);
    let mut odd_ids = Vec::new();
    for (n, odd) in texts.iter().enumerate() {
        // With two entries a page: before, between and after those that are sound.
        let id = [format!("a{n}"), format!("u1-{n}"), format!("z{n}")][n % 3].clone();
        bed.store.put_entry_text(&id, odd);
        odd_ids.push(id);
    }
    let front = start_front(&bed.store, "front-2").await.front;
    until("the second VM is ready", || front.lifecycle.is_ready()).await;
    for id in ["u1", "u2"] {
        assert!(is_used(&front, id), "{id}");
    }
    for (id, odd) in odd_ids.iter().zip(&texts) {
        assert!(!is_used(&front, id), "{id}: {}", shown(odd));
    }
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 200);
    // One of them becomes sound.
    bed.store.put_entry_text(&odd_ids[0], &sound);
    until("it is used", || is_used(&front, &odd_ids[0])).await;
}
