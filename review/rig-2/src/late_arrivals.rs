//! A failure domain is cut off for some seconds. Requests that the fronts sent there on kept
//! connections, and gave up, reach their worker long after it has said that it leaves.

use crate::client::{Ask, Client, Seen};
use crate::fleet::Front;
use crate::link::Link;
use crate::store::Store;
use crate::worker::{Answer, Worker};
use crate::{Bed, Verdict};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const KEY: &str = "xd9dnn2ctnfzs989anu6";
/// `drain_ms` of a small deployment.
const DRAIN: Duration = Duration::from_millis(2000);
/// `contact_ms` of a small deployment.
const CONTACT: Duration = Duration::from_millis(3000);
/// How long the failure domain of the worker is cut off.
const CUT: Duration = Duration::from_millis(3150);
/// After the cut, the worker says that it leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(850);
/// How long the worker serves on.
const SERVES_ON: Duration = Duration::from_millis(4000);
/// How often that comes, with another worker each time.
const ROUNDS: u8 = 4;
const CALLERS: usize = 12;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn config(version: u64) -> String {
    let route = |name: &str, path: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"fleet.example\",\"path_prefix\":\"{path}\",\
             \"kind\":\"{kind}\",\"timeout_ms\":2000,\"goal_ms\":300,\"priority\":2,\
             \"service\":\"portal\",\"max_attempts\":{attempts},\"public\":false,\
             \"sticky\":false,\"can_resume\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\
         \"services\":[{{\"name\":\"portal\",\"health_path\":\"/health\",\"max_conns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hukc70\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("r-booking", "/booking/", "non_idempotent", 1),
        route("r-notice", "/notice/", "idempotent", 2),
    )
}

/// Every second request must not run twice.
fn request(caller: usize, n: u32) -> Ask {
    let (method, path) = match n.is_multiple_of(2) {
        true => ("GET", "/notice/1"),
        false => ("POST", "/booking/1"),
    };
    Ask {
        id: format!("{}-c{caller}-{n}", method.to_lowercase()),
        method,
        path: path.to_owned(),
        key: KEY.to_owned(),
        deadline_ms: 2000,
        tokens: None,
    }
}

/// Starts callers of a front, who go on asking until `stop`.
fn start_callers(
    bed: &Bed,
    fronts: &[&Front],
    stop: &Arc<AtomicBool>,
    seen: &Arc<Mutex<HashMap<String, Seen>>>,
) -> Vec<thread::JoinHandle<()>> {
    let start = |caller: usize| {
        let listen = fronts[caller % fronts.len()].listen;
        let (record, stop, seen) = (bed.record.clone(), Arc::clone(stop), Arc::clone(seen));
        thread::spawn(move || {
            let mut client = None;
            let mut n = 0;
            while !stop.load(Ordering::SeqCst) {
                let Some(mut current) = client
                    .take()
                    .or_else(|| Client::connect(listen, &record).ok())
                else {
                    thread::sleep(ms(100));
                    continue;
                };
                n += 1;
                let answer = current.ask(&request(caller, n));
                if answer.whole {
                    client = Some(current);
                }
                seen.lock().unwrap().insert(answer.id.clone(), answer);
                thread::sleep(ms(15));
            }
        })
    };
    (0..CALLERS).map(start).collect()
}

pub fn run(bed: &Bed) -> Verdict {
    let record = &bed.record;
    let store = Store::start(&bed.ip(1));
    let work = Answer::Call { work: ms(20) };
    let worker = |host: u8, id: &str, zone: &str| {
        Worker::start(&bed.ip(host), id, "portal", zone, 6, work, record)
    };
    let others = [worker(21, "i-1c", "c"), worker(22, "i-2c", "c")];
    store.put("config", "main", &config(7));
    for w in &others {
        store.put("servers", &w.id, &w.entry("ready", 0, 1));
    }
    let front = |name: &str, host: u8| {
        Front::prepare(&bed.dir, name, "a", &bed.ip(host), store.addr, record)
    };
    let (mut first, mut second) = (front("front-a-1", 11), front("front-a-2", 12));
    for front in [&mut first, &mut second] {
        if let Err(e) = front.start(&bed.root) {
            return Verdict::CouldNotRun(format!("{}: {e}", front.name));
        }
    }
    for front in [&first, &second] {
        if !front.wait_until_ready(ms(10_000)) {
            return Verdict::CouldNotRun(format!("{} is not ready", front.name));
        }
    }
    thread::sleep(ms(4000));

    let stop = Arc::new(AtomicBool::new(false));
    let seen = Arc::default();
    let callers = start_callers(bed, &[&first, &second], &stop, &seen);
    let mut late = Vec::new();
    for round in 0..ROUNDS {
        let runs_at = worker(31 + round, &format!("i-{}b", 10 + round), "b");
        let link = Link::start(&bed.ip(51 + round), runs_at.addr);
        let mut listed = runs_at.clone();
        listed.addr = link.addr;
        store.put("servers", &listed.id, &listed.entry("ready", 0, 1));
        record.line(&format!("worker {} of b is in the store", listed.id));
        thread::sleep(ms(2500));
        if bed.trouble {
            link.cut();
            record.line("b is cut off from the fronts");
        }
        thread::sleep(CUT);
        link.heal();
        let healed_at = record.now();
        if bed.trouble {
            record.line("the cut is over");
        }
        thread::sleep(LEAVES_AFTER);
        store.put("servers", &listed.id, &listed.entry("draining", 0, 1));
        let acked_at = record.now();
        record.line(&format!("worker {} is draining: acked", listed.id));
        thread::sleep(SERVES_ON);
        let from = (acked_at + DRAIN).max(healed_at + CONTACT);
        for run in runs_at.runs().into_iter().filter(|r| r.began > from) {
            late.push((run.id, run.began, run.began - acked_at));
        }
        store.remove("servers", &listed.id);
    }
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|c| drop(c.join()));

    let seen = seen.lock().unwrap();
    let served = seen.values().filter(|s| s.status == Some(200)).count();
    if served == 0 {
        return Verdict::CouldNotRun("no request was served".to_owned());
    }
    for (id, began, after) in &late {
        let caller = seen
            .get(id)
            .map_or("its caller is not known".to_owned(), |s| {
                format!(
                    "its caller sent it {:.2} s before and got {} {:.2} s before",
                    (*began - s.sent_at).as_secs_f64(),
                    s.status.map_or("nothing".to_owned(), |s| s.to_string()),
                    began.saturating_sub(s.ended_at).as_secs_f64()
                )
            });
        record.line(&format!(
            "{id} began to run {:.2} s after draining was acked; {caller}",
            after.as_secs_f64()
        ));
    }
    let unsafe_runs = late
        .iter()
        .filter(|(id, ..)| id.starts_with("post"))
        .count();
    let text = format!(
        "requests that reached a worker more than 2 s after its draining was acked: {} in {ROUNDS} \
         rounds, {unsafe_runs} of them must not run twice ({served} served in all)",
        late.len()
    );
    match late.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}
