//! Bytes that are kept for callers that do not read, counted against the bounds.

use crate::support::{Bed, ENGINES, HOST, KEY, config, until};
use socket2::SockRef;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use trouttrack_core::fleet::Organisation;
use trouttrack_platform_standin::{Behaviour, CallerRequest, Upstream};

const KIB: usize = 1 << 10;
const VM: usize = 512 * KIB;
const SETTINGS: &str = "[buffers]\nrequest = 64KiB\norganisation = 256KiB\nvm = 512KiB\n";
/// More than the system's socket buffers hold.
const EVENTS: u64 = 800;
const EVENT_PADDING: usize = 8 * KIB;
/// Bytes in a TCP segment. The system sizes send buffers by it: segments of the loopback
/// interface make it accept some MiB that nobody reads, and these some 100 KiB.
const SEGMENT: u32 = 536;
const OTHER_KEY: &str = "key-of-beta";
/// The end of a complete chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

async fn bed() -> Bed {
    let bed = Bed::with(ENGINES, SETTINGS).await;
    let mut config = config(2);
    for route in &mut config.routes {
        route.timeout = Duration::from_secs(60);
    }
    config
        .organisations
        .get_or_insert_default()
        .push(Organisation {
            name: "beta".to_owned(),
            keys: vec![OTHER_KEY.to_owned()],
            priority: None,
        });
    bed.store.put_config(&config);
    until("the second organisation is known", || {
        bed.front.front.routing.version() == 2
    })
    .await;
    for upstream in &bed.upstreams {
        upstream.pace(Duration::ZERO);
        upstream.pad_events(EVENT_PADDING);
        upstream.always(Behaviour::Stream(EVENTS));
    }
    bed
}

/// Sends the request of a stream and reads nothing.
async fn silent_caller(bed: &Bed, id: &str, key: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(4 << 10)
        .expect("a small buffer");
    SockRef::from(&socket)
        .set_tcp_mss(SEGMENT)
        .expect("small segments");
    let mut stream = socket.connect(bed.addr()).await.expect("a connection");
    let req = CallerRequest::get(id, HOST, "/draft/x")
        .post("x")
        .key(key)
        .tokens(100, 400)
        .patience(Duration::from_secs(60));
    stream.write_all(&req.to_bytes()).await.expect("sent");
    stream
}

/// Reads the rest of a response. Returns whether it is complete.
async fn is_complete(mut stream: TcpStream) -> bool {
    let mut buf = Vec::new();
    let mut tail = Vec::new();
    loop {
        buf.clear();
        match stream.read_buf(&mut buf).await {
            Ok(0) | Err(_) => return false,
            Ok(_) => tail.extend_from_slice(&buf),
        }
        if tail.ends_with(LAST_CHUNK) {
            return true;
        }
        tail.drain(..tail.len().saturating_sub(LAST_CHUNK.len()));
    }
}

fn ended(bed: &Bed, bound: &str) -> u64 {
    let ended = &bed.front.front.metrics.slow_readers;
    ended.with_label_values(&[bound]).get()
}

fn total(bed: &Bed) -> usize {
    let total = bed.front.front.buffers.total();
    assert!(total <= VM, "{total} bytes are buffered");
    total
}

fn working_on(bed: &Bed) -> usize {
    bed.upstreams.iter().map(Upstream::working_on).sum()
}

#[actix_rt::test]
async fn callers_that_do_not_read_are_ended_at_the_bound_of_their_organisation() {
    let bed = bed().await;
    let mut callers = Vec::new();
    for n in 0..12 {
        callers.push(silent_caller(&bed, &format!("r{n}"), KEY).await);
    }
    // 256 KiB hold four streams of 64 KiB.
    until("all but a few are ended", || {
        total(&bed) <= VM / 2 && ended(&bed, "organisation") >= 6
    })
    .await;
    let mut incomplete = 0;
    for caller in callers {
        incomplete += u64::from(!is_complete(caller).await);
    }
    assert!(incomplete >= ended(&bed, "organisation"));
    let uncertain = || {
        let ends = &bed.front.front.metrics.ended;
        ends.with_label_values(&["stream", "uncertain"]).get()
    };
    until("they are reported as uncertain", || {
        uncertain() >= ended(&bed, "organisation")
    })
    .await;
    until("nothing is kept", || total(&bed) == 0).await;
}

#[actix_rt::test]
async fn slow_readers_of_one_organisation_do_not_end_those_of_another() {
    let bed = bed().await;
    let other = silent_caller(&bed, "other", OTHER_KEY).await;
    until("it is served", || total(&bed) > 0).await;
    let mut callers = Vec::new();
    for n in 0..8 {
        callers.push(silent_caller(&bed, &format!("r{n}"), KEY).await);
    }
    until("callers are ended", || {
        total(&bed) <= VM && ended(&bed, "organisation") >= 2
    })
    .await;
    assert!(is_complete(other).await);
    drop(callers);
    assert_eq!(ended(&bed, "vm"), 0);
}

#[actix_rt::test]
async fn the_upstream_waits_for_a_caller_that_resumes() {
    let bed = bed().await;
    let caller = silent_caller(&bed, "r1", KEY).await;
    until("its buffer is full", || total(&bed) > 48 * KIB).await;
    assert_eq!(working_on(&bed), 1);
    assert!(is_complete(caller).await);
    assert_eq!((ended(&bed, "organisation"), ended(&bed, "vm")), (0, 0));
    until("nothing is kept", || total(&bed) == 0).await;
}

/// What an operator reads at `/metrics`.
#[actix_rt::test]
async fn metrics_name_the_organisations_whose_callers_do_not_read() {
    let bed = bed().await;
    let callers = [
        silent_caller(&bed, "r1", KEY).await,
        silent_caller(&bed, "r2", OTHER_KEY).await,
        silent_caller(&bed, "r3", OTHER_KEY).await,
    ];
    until("all buffers are full", || total(&bed) > 150 * KIB).await;
    let held = |organisation: &str| {
        let name =
            format!("trouttrack_organisation_buffered_bytes{{organisation=\"{organisation}\"}}");
        metric(&bed, &name)
    };
    let (alpha, beta) = (held("alpha"), held("beta"));
    assert_eq!(alpha + beta, metric(&bed, "trouttrack_buffered_bytes"));
    assert!(alpha > 0 && beta > alpha);
    for (bound, bytes) in [("request", 64 * KIB), ("organisation", VM / 2), ("vm", VM)] {
        let name = format!("trouttrack_buffered_bytes_limit{{bound=\"{bound}\"}}");
        assert_eq!(metric(&bed, &name), bytes);
    }
    drop(callers);
    until("nothing is kept", || total(&bed) == 0).await;
    let text = String::from_utf8(bed.front.front.metrics_text()).expect("text");
    assert!(!text.contains("trouttrack_organisation_buffered_bytes{"));
}

fn metric(bed: &Bed, name: &str) -> usize {
    let text = String::from_utf8(bed.front.front.metrics_text()).expect("text");
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.unwrap_or_else(|| panic!("{name} is missing"));
    value.trim().parse().expect("a number")
}
