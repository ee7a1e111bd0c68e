//! The store turns a VM away for some seconds. An upstream that leaves meanwhile stays in use at the
//! VM until long after the VM is served again.

use crate::client::{Ask, Client};
use crate::fleet::Front;
use crate::store::Store;
use crate::worker::{Answer, Worker};
use crate::{Bed, Verdict};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const KEY: &str = "xd9dnn2ctnfzs989anu6";
/// `drain_ms` of a small deployment.
const DRAIN: Duration = Duration::from_millis(2000);
/// `contact_ms` of a small deployment.
const CONTACT: Duration = Duration::from_millis(3000);
/// How long the store turns the VM away.
const AWAY: Duration = Duration::from_millis(3000);
/// Before the end of that, the upstream leaves.
const LEAVES_BEFORE: Duration = Duration::from_millis(300);
/// How often that comes, with another upstream each time.
const ROUNDS: u8 = 13;
/// Taken off the time in touch, for the way from the VM to the worker.
const MARGIN: Duration = Duration::from_millis(50);
/// How long requests are judged after the VM is in touch again.
const JUDGED: Duration = Duration::from_millis(1300);

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
         \"tenants\":[{{\"name\":\"hukc70\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
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
    let door = store.door(&bed.ip(1));
    let work = Answer::Call { work: ms(60) };
    let worker = |host: u8, id: &str, zone: &str| {
        Worker::start(&bed.ip(host), id, "portal", zone, 6, work, record)
    };
    let others = [
        worker(21, "i-1a", "a"),
        worker(22, "i-2b", "b"),
        worker(23, "i-3b", "b"),
    ];
    let leaving: Vec<Worker> = (0..ROUNDS)
        .map(|n| worker(30 + n, &format!("i-{}a", 10 + n), "a"))
        .collect();
    store.put("config", "main", &config(7));
    for w in &others {
        store.put("servers", &w.id, &w.entry("ready", 0, 1));
    }
    let front = |name: &str, zone: &str, host: u8, store| {
        Front::prepare(&bed.dir, name, zone, &bed.ip(host), store, record)
    };
    let mut a = front("front-a-1", "a", 11, door.addr);
    let mut c = front("front-c-1", "c", 12, store.addr);
    let mut b = front("front-b-1", "b", 13, store.addr);
    for front in [&mut a, &mut c, &mut b] {
        if let Err(e) = front.start(&bed.root) {
            return Verdict::CouldNotRun(format!("{}: {e}", front.name));
        }
    }
    for front in [&a, &c, &b] {
        if !front.wait_until_ready(ms(10_000)) {
            return Verdict::CouldNotRun(format!("{} is not ready", front.name));
        }
    }
    thread::sleep(ms(5000));

    // Callers of the VM, who go on asking throughout.
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let (record, listen, stop) = (record.clone(), a.listen, Arc::clone(&stop));
            thread::spawn(move || {
                let mut served = 0;
                let Ok(mut client) = Client::connect(listen, &record) else {
                    return served;
                };
                let mut n = 0;
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    let seen = client.ask(&lookup(format!("c{caller}-{n}")));
                    served += u32::from(seen.status == Some(200));
                    if !seen.whole {
                        match Client::connect(listen, &record) {
                            Ok(next) => client = next,
                            Err(_) => return served,
                        }
                    }
                    thread::sleep(ms(40));
                }
                served
            })
        })
        .collect();
    let mut late = Vec::new();
    for (round, w) in leaving.iter().enumerate() {
        store.put("servers", &w.id, &w.entry("ready", 0, 1));
        record.line(&format!(
            "worker {} starts: its entry is in the store",
            w.id
        ));
        thread::sleep(ms(300));
        if bed.trouble {
            door.set_shut(true);
            record.line("the store turns front-a-1 away");
        }
        thread::sleep(AWAY - LEAVES_BEFORE);
        let rev = store.remove("servers", &w.id);
        let gone_at = record.now();
        record.line(&format!(
            "worker {} leaves: its entry goes, revision {rev}; it serves on",
            w.id
        ));
        thread::sleep(LEAVES_BEFORE);
        if bed.trouble {
            door.set_shut(false);
            record.line("the store serves front-a-1 again");
        }
        let in_touch_at = record.now() + CONTACT + MARGIN;
        thread::sleep(CONTACT + JUDGED);
        let from = in_touch_at.max(gone_at + DRAIN);
        let runs = w.runs().into_iter().filter(|r| r.began > from);
        let runs: Vec<Duration> = runs.map(|r| r.began - gone_at).collect();
        if let Some(last) = runs.iter().max() {
            late.push(format!(
                "round {}: {} at {}, the last one {:.2} s after its entry had gone",
                round + 1,
                runs.len(),
                w.id,
                last.as_secs_f64()
            ));
        }
    }
    stop.store(true, Ordering::SeqCst);
    let served: u32 = callers.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    for line in a.logged("i-").iter() {
        if VIEW.iter().any(|name| line.contains(name)) {
            record.line(&format!("log of front-a-1: {line}"));
        }
    }
    for line in a.logged("platform-").iter() {
        record.line(&format!("log of front-a-1: {line}"));
    }
    if served == 0 {
        return Verdict::CouldNotRun("no request was served".to_owned());
    }
    let text = format!(
        "requests that front-a-1 passed on, in touch, to a worker that had left more than 2 s before: \
         {} ({served} served in all)",
        match late.is_empty() {
            true => "none".to_owned(),
            false => late.join("; "),
        }
    );
    match late.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}
