//! A VM freezes. When it wakes, it reads the answer of its watch at the store after newer changes
//! that its peers have told it meanwhile.

use crate::client::{Ask, Client};
use crate::fleet::Front;
use crate::store::Store;
use crate::worker::{Answer, Worker};
use crate::{Bed, Verdict};
use std::thread;
use std::time::Duration;

const KEY: &str = "xd9dnn2ctnfzs989anu6";
/// `drain_ms` of a small deployment.
const DRAIN: Duration = Duration::from_millis(2000);
/// `contact_ms` of a small deployment.
const CONTACT: Duration = Duration::from_millis(3000);
/// How long the VM stands still.
const FREEZE: Duration = Duration::from_millis(1500);

/// Events of the log that tell what the VM holds for true of an upstream.
const VIEW: [&str; 4] = [
    "upstream-seen",
    "upstream-gone",
    "entry-lapsed",
    "departure",
];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-lookup\",\"host\":\"fleet.example\",\
         \"path_prefix\":\"/lookup/\",\"kind\":\"non_idempotent\",\"timeout_ms\":2000,\
         \"goal_ms\":300,\"priority\":2,\"service\":\"portal\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":false,\"can_resume\":false}}],\
         \"services\":[{{\"name\":\"portal\",\"health_path\":\"/health\",\"max_conns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn lookup(id: String) -> Ask {
    Ask {
        id,
        method: "POST",
        path: "/lookup/1".to_owned(),
        key: KEY.to_owned(),
        deadline_ms: 4000,
        tokens: None,
    }
}

pub fn run(bed: &Bed) -> Verdict {
    let record = &bed.record;
    let store = Store::start(&bed.ip(1));
    let work = Answer::Call { work: ms(60) };
    let worker = |host: u8, id: &str, zone: &str| {
        Worker::start(&bed.ip(host), id, "portal", zone, 6, work, record)
    };
    let others = [
        worker(21, "i-1a", "a"),
        worker(22, "i-2b", "b"),
        worker(23, "i-3c", "c"),
    ];
    let leaving = worker(24, "i-4a", "a");
    store.put("config", "main", &config(7));
    for w in &others {
        store.put("servers", &w.id, &w.entry("ready", 0, 1));
    }
    let mut a = Front::prepare(&bed.dir, "front-a-1", "a", &bed.ip(11), store.addr, record);
    let mut b = Front::prepare(&bed.dir, "front-b-1", "b", &bed.ip(12), store.addr, record);
    let mut c = Front::prepare(&bed.dir, "front-c-1", "c", &bed.ip(13), store.addr, record);
    for front in [&mut a, &mut b, &mut c] {
        if let Err(e) = front.start(&bed.root) {
            return Verdict::CouldNotRun(format!("{}: {e}", front.name));
        }
    }
    for front in [&a, &b, &c] {
        if !front.wait_until_ready(ms(10_000)) {
            return Verdict::CouldNotRun(format!("{} is not ready", front.name));
        }
    }
    thread::sleep(ms(6000));

    // The worker starts and is cold for some seconds; each check-in changes its entry.
    store.put("servers", &leaving.id, &leaving.entry("ready", 3600, 1));
    record.line("worker i-4a starts: its entry is in the store");
    thread::sleep(ms(1200));
    store.put("servers", &leaving.id, &leaving.entry("ready", 2400, 2));
    thread::sleep(ms(900));
    if bed.trouble {
        a.signal("STOP");
    }
    thread::sleep(ms(300));
    let rev = store.put("servers", &leaving.id, &leaving.entry("ready", 1200, 3));
    record.line(&format!("worker i-4a checks in, revision {rev}"));
    thread::sleep(ms(700));
    let rev = store.remove("servers", &leaving.id);
    let gone_at = record.now();
    record.line(&format!(
        "worker i-4a leaves: its entry goes, revision {rev}; it serves on"
    ));
    thread::sleep(FREEZE.saturating_sub(ms(1000)));
    if bed.trouble {
        a.signal("CONT");
    }
    let woken_at = record.now();
    thread::sleep(CONTACT + ms(300));

    // Callers of the VM, which has been in touch since.
    let asked_from = record.now();
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let (record, listen) = (record.clone(), a.listen);
            thread::spawn(move || {
                let mut served = 0;
                let Ok(mut client) = Client::connect(listen, &record) else {
                    return served;
                };
                for n in 0..25 {
                    let seen = client.ask(&lookup(format!("c{caller}-{n}")));
                    served += u32::from(seen.status == Some(200));
                    if !seen.whole {
                        match Client::connect(listen, &record) {
                            Ok(next) => client = next,
                            Err(_) => return served,
                        }
                    }
                    thread::sleep(ms(100));
                }
                served
            })
        })
        .collect();
    let served: u32 = callers.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    for line in a
        .logged("i-4a")
        .iter()
        .filter(|l| VIEW.iter().any(|name| l.contains(name)))
    {
        record.line(&format!("log of front-a-1: {line}"));
    }
    let late = |w: &Worker| {
        let runs = w.runs().into_iter();
        runs.filter(|r| r.began > gone_at + DRAIN && r.began > woken_at + CONTACT)
            .count()
    };
    let late_runs = late(&leaving);
    let runs: Vec<String> = others
        .iter()
        .map(|w| format!("{} {}", w.id, late(w)))
        .collect();
    let ago = (asked_from - gone_at).as_secs_f64();
    if served == 0 {
        return Verdict::CouldNotRun("no request was served".to_owned());
    }
    let text = format!(
        "{late_runs} of {served} requests served by front-a-1 ran at i-4a, whose entry had gone \
         {ago:.1} s and more before (drain_ms is 2 s); the others ran {}",
        runs.join(", ")
    );
    match late_runs {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
