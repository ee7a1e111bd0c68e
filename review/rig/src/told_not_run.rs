//! A worker runs a request that must not run twice and fails it with 503, without saying that it
//! did not run it.

use crate::client::{Ask, Client};
use crate::fleet::Front;
use crate::store::Store;
use crate::worker::{Answer, Worker};
use crate::{Bed, Verdict};
use std::thread;
use std::time::Duration;

const KEY: &str = "xd9dnn2ctnfzs989anu6";
/// Of so many requests of the failing worker, `FAILS` fail (`srv_grey`: x 0.4).
const OF: usize = 5;
const FAILS: usize = 2;
/// Requests that each client makes.
const REQUESTS: usize = 40;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-booking\",\"host\":\"fleet.example\",\
         \"path_prefix\":\"/booking/\",\"kind\":\"non_idempotent\",\"timeout_ms\":2000,\
         \"goal_ms\":300,\"priority\":2,\"service\":\"portal\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":false,\"can_resume\":false}}],\
         \"services\":[{{\"name\":\"portal\",\"health_path\":\"/health\",\"max_conns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn booking(id: String) -> Ask {
    Ask {
        id,
        method: "POST",
        path: "/booking/1".to_owned(),
        key: KEY.to_owned(),
        deadline_ms: 4000,
        tokens: None,
    }
}

pub fn run(bed: &Bed) -> Verdict {
    let record = &bed.record;
    let store = Store::start(&bed.ip(1));
    let work = Answer::Call { work: ms(60) };
    let failing = match bed.trouble {
        true => Answer::FailsAfterRun {
            work: ms(60),
            fails: FAILS,
            of: OF,
        },
        false => work,
    };
    let workers = [
        (21, "i-1a", "a", failing),
        (22, "i-2a", "a", work),
        (23, "i-3b", "b", work),
        (24, "i-4b", "b", work),
    ]
    .map(|(host, id, zone, how)| Worker::start(&bed.ip(host), id, "portal", zone, 6, how, record));
    store.put("config", "main", &config());
    for w in &workers {
        store.put("servers", &w.id, &w.entry("ready", 0, 1));
    }
    let mut a = Front::prepare(&bed.dir, "front-a-1", "a", &bed.ip(11), store.addr, record);
    let mut b = Front::prepare(&bed.dir, "front-b-1", "b", &bed.ip(12), store.addr, record);
    for front in [&mut a, &mut b] {
        if let Err(e) = front.start(&bed.root) {
            return Verdict::CouldNotRun(format!("{}: {e}", front.name));
        }
    }
    for front in [&a, &b] {
        if !front.wait_until_ready(ms(10_000)) {
            return Verdict::CouldNotRun(format!("{} is not ready", front.name));
        }
    }
    thread::sleep(ms(4000));
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            let (record, listen) = (record.clone(), a.listen);
            thread::spawn(move || {
                let mut seen = Vec::new();
                for n in 0..REQUESTS {
                    let Ok(mut client) = Client::connect(listen, &record) else {
                        continue;
                    };
                    let first = client.ask(&booking(format!("c{caller}-{n}-try1")));
                    let promised = matches!(first.status, Some(408 | 421 | 429 | 503));
                    seen.push(first);
                    if promised {
                        // As the page says: after a promise, on a new channel.
                        thread::sleep(ms(200));
                        if let Ok(mut client) = Client::connect(listen, &record) {
                            seen.push(client.ask(&booking(format!("c{caller}-{n}-try2"))));
                        }
                    }
                    thread::sleep(ms(50));
                }
                seen
            })
        })
        .collect();
    let seen: Vec<_> = callers
        .into_iter()
        .flat_map(|c| c.join().unwrap_or_default())
        .collect();
    let ran = |id: &str| {
        let runs = workers.iter().flat_map(Worker::runs);
        runs.filter(|run| run.id == id).count()
    };
    let served = seen.iter().filter(|s| s.status == Some(200)).count();
    let broken: Vec<_> = seen
        .iter()
        .filter(|s| matches!(s.status, Some(408 | 421 | 429 | 503)) && ran(&s.id) > 0)
        .collect();
    let twice = broken
        .iter()
        .filter(|s| ran(&s.id.replace("try1", "try2")) > 0 && s.id.ends_with("try1"))
        .count();
    if served == 0 {
        return Verdict::CouldNotRun("no request was served".to_owned());
    }
    let text = format!(
        "of {} tries {served} got 200; {} had run and were told 503; {twice} of these were made \
         again, as the promise allows, and ran a second time",
        seen.len(),
        broken.len()
    );
    match broken.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}
