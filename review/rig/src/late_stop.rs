//! A VM that is stopping accepts a request late in its grace period and ends before the request
//! is answered.

use crate::client::{Ask, Client};
use crate::fleet::Front;
use crate::store::Store;
use crate::worker::{Answer, Worker};
use crate::{Bed, Verdict};
use std::thread;
use std::time::Duration;

const KEY: &str = "xd9dnn2ctnfzs989anu6";
/// Time until a crowded engine writes the first event of a short stream.
const FIRST_EVENT: Duration = Duration::from_millis(3000);
/// Pause between two events.
const GAP: Duration = Duration::from_millis(60);
/// When clients ask on their kept channels, after the signal.
const ASKED_AFTER_MS: [u64; 4] = [3500, 4500, 4800, 5100];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[\
         {{\"name\":\"r-draft\",\"host\":\"fleet.example\",\"path_prefix\":\"/draft/\",\
         \"kind\":\"streaming\",\"timeout_ms\":39000,\"goal_ms\":1800,\"priority\":1,\
         \"service\":\"llm\",\"max_attempts\":1,\"public\":false,\"sticky\":true,\
         \"can_resume\":false,\"gap_goal_ms\":180}},\
         {{\"name\":\"r-advice\",\"host\":\"fleet.example\",\"path_prefix\":\"/advice/\",\
         \"kind\":\"streaming\",\"timeout_ms\":6000,\"goal_ms\":1500,\"priority\":0,\
         \"service\":\"llm\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\
         \"can_resume\":true,\"gap_goal_ms\":180}}],\
         \"services\":[{{\"name\":\"llm\",\"health_path\":\"/health\",\"max_conns\":362,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":48,\"kv_tokens\":34423,\
         \"kv_bytes\":131072,\"link_mbps\":19000.0,\"moves\":true,\"backups\":true,\"stride\":4,\
         \"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn ask(id: &str, path: &str, deadline_ms: u64, tokens: (u32, u32)) -> Ask {
    Ask {
        id: id.to_owned(),
        method: "POST",
        path: path.to_owned(),
        key: KEY.to_owned(),
        deadline_ms,
        tokens: Some(tokens),
    }
}

pub fn run(bed: &Bed) -> Verdict {
    let record = &bed.record;
    let store = Store::start(&bed.ip(1));
    let how = Answer::Stream {
        first: FIRST_EVENT,
        gap: GAP,
    };
    let workers = [(21, "i-1a", "a"), (22, "i-2b", "b"), (23, "i-3a", "a")]
        .map(|(host, id, zone)| Worker::start(&bed.ip(host), id, "llm", zone, 48, how, record));
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

    // A long draft keeps the VM busy; the other clients keep their channels.
    let draft = {
        let (record, listen) = (record.clone(), a.listen);
        thread::spawn(move || {
            let mut client = Client::connect(listen, &record).ok()?;
            Some(client.ask(&ask("draft-1", "/draft/1", 39_000, (3000, 944))))
        })
    };
    let clients: Vec<_> = (0..ASKED_AFTER_MS.len())
        .filter_map(|_| Client::connect(a.listen, record).ok())
        .collect();
    if clients.len() < ASKED_AFTER_MS.len() {
        return Verdict::CouldNotRun("front-a-1 accepts no channel".to_owned());
    }
    let warm: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(n, mut client)| {
            thread::spawn(move || {
                let seen = client.ask(&ask(&format!("warm-{n}"), "/advice/1", 6000, (2200, 16)));
                (client, seen)
            })
        })
        .collect();
    let mut kept = Vec::new();
    for thread in warm {
        match thread.join() {
            Ok((client, seen)) if seen.whole && seen.status == Some(200) => kept.push(client),
            _ => return Verdict::CouldNotRun("a request before the stop failed".to_owned()),
        }
    }
    if bed.trouble {
        a.signal("TERM");
    }
    let stopped_at = record.now();
    let late: Vec<_> = kept
        .into_iter()
        .zip(ASKED_AFTER_MS)
        .map(|(mut client, after)| {
            let record = record.clone();
            thread::spawn(move || {
                let at = stopped_at + ms(after);
                thread::sleep(at.saturating_sub(record.now()));
                client.ask(&ask(
                    &format!("late-{after}"),
                    "/advice/2",
                    6000,
                    (2200, 16),
                ))
            })
        })
        .collect();
    let seen: Vec<_> = late.into_iter().filter_map(|t| t.join().ok()).collect();
    thread::sleep(ms(500));
    let ended = a.ended();
    record.line(&format!("front-a-1 ended: {ended:?}"));
    drop((a, b));
    drop(draft.join());
    let ran = |id: &str| {
        let runs = workers.iter().flat_map(Worker::runs);
        runs.filter(|run| run.id == id).count()
    };
    let mut lost = Vec::new();
    let mut whole = 0;
    for s in &seen {
        let has_run = ran(&s.id) > 0;
        if s.whole {
            whole += 1;
            continue;
        }
        if has_run {
            let sent = (s.sent_at.saturating_sub(stopped_at)).as_secs_f64();
            let cut = (s.ended_at.saturating_sub(stopped_at)).as_secs_f64();
            lost.push(format!(
                "{} (sent {sent:.2} s after SIGTERM, passed on, channel closed without a whole \
                 answer at {cut:.2} s)",
                s.id
            ));
        }
    }
    let text = format!(
        "{whole} of {} had a whole answer; lost: {}",
        seen.len(),
        lost.join("; ")
    );
    match lost.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}
