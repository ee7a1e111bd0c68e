//! Bytes of requests that are kept for upstreams that do not read them.

use crate::support::{Bed, ENGINES, HOST, KEY, config, until};
use std::time::Duration;
use trouttrack_core::fleet::Organisation;
use trouttrack_platform_standin::{Behaviour, CallerRequest, Reply};

const KIB: usize = 1 << 10;
const VM: usize = 512 * KIB;
const ORGANISATION_BOUND: usize = 256 * KIB;
const SETTINGS: &str = "[buffers]\nrequest = 64KiB\norganisation = 256KiB\nvm = 512KiB\n";
const BODY: usize = 60 * KIB;
/// Requests whose bodies fit into the bound of an organisation.
const FITTING: usize = ORGANISATION_BOUND / BODY;
const OTHER_KEY: &str = "key-of-beta";
const PATIENCE: Duration = Duration::from_secs(4);

async fn bed() -> Bed {
    let bed = Bed::with(ENGINES, SETTINGS).await;
    let mut config = config(2);
    config.limits.body_bytes = 2 * BODY;
    let beta = Organisation {
        name: "beta".to_owned(),
        keys: vec![OTHER_KEY.to_owned()],
        priority: None,
    };
    config.organisations.get_or_insert_default().push(beta);
    bed.store.put_config(&config);
    until("the second organisation is known", || {
        bed.front.front.routing.version() == 2
    })
    .await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(3));
    }
    bed
}

fn large(id: &str, key: &str) -> CallerRequest {
    CallerRequest::get(id, HOST, "/draft/x")
        .post("x".repeat(BODY).leak())
        .key(key)
        .tokens(100, 400)
        .patience(PATIENCE)
}

/// Sends requests to upstreams that do not read them, as many as fit.
async fn stall(bed: &Bed) -> Vec<actix_rt::task::JoinHandle<Reply>> {
    let front = &bed.front.front;
    let read_nothing = |set| bed.upstreams.iter().for_each(|u| u.read_nothing(set));
    read_nothing(true);
    let opened = front.http.opened();
    let mut stalled = Vec::new();
    for n in 0..FITTING {
        let (req, addr) = (large(&format!("r{n}"), KEY), bed.addr());
        stalled.push(actix_rt::spawn(async move { req.send(addr).await }));
    }
    until("all are at an upstream", || {
        front.http.opened() >= opened + FITTING as u64 && front.scheduler.queued() == 0
    })
    .await;
    read_nothing(false);
    stalled
}

#[actix_rt::test]
async fn bodies_that_upstreams_do_not_read_count_until_their_requests_end() {
    let bed = bed().await;
    let stalled = stall(&bed).await;
    let buffers = &bed.front.front.buffers;
    assert_eq!(buffers.total(), FITTING * BODY);
    let reply = bed.send(&large("refused", KEY)).await;
    assert_eq!(reply.status, 503, "the organisation is at its bound");
    assert!(bed.ran("refused").is_empty());
    assert!(buffers.total() <= ORGANISATION_BOUND);
    for reply in stalled {
        assert_eq!(reply.await.expect("a reply").status, 504);
    }
    until("nothing is kept", || buffers.total() == 0).await;
}

#[actix_rt::test]
async fn requests_of_others_pass_while_upstreams_do_not_read() {
    let bed = bed().await;
    let stalled = stall(&bed).await;
    for n in 0..6 {
        let reply = bed.send(&large(&format!("other{n}"), OTHER_KEY)).await;
        assert_eq!(reply.status, 200);
        assert!(bed.front.front.buffers.total() <= VM);
    }
    let small = CallerRequest::get("small", HOST, "/draft/x").post("x");
    let reply = bed.send(&small.key(KEY).tokens(100, 400)).await;
    assert_eq!(reply.status, 200, "the organisation has room for it");
    drop(stalled);
}
