//! The services between processes.

use std::net::SocketAddr;
use std::time::Duration;
use tarpc::context::Context;
use trouttrack_config::fleet::{Fleet, Root, split};
use trouttrack_core::claims::Claim;
use trouttrack_core::membership::{Digest, Mark, MarkEntry, MarkSource, UpstreamUse};
use trouttrack_core::routing::{CandidateNote, Explanation};
use trouttrack_core::{ConfigVersion, Outcome};
use trouttrack_rpc::{
    ClaimAnswer, ClaimedState, ConfigBundle, Connection, GatewayStatus, Hello, PROTOCOL, Peer,
    RequestInfo, RequestState, RpcError, UpstreamInfo, serve,
};

/// Answers with what it is given, or with fixed examples.
#[derive(Clone)]
struct Example {
    protocol: u32,
    silent: bool,
}

fn bundle() -> ConfigBundle {
    let (refs, parts) = split(&Fleet::default());
    ConfigBundle {
        object_version: 3,
        root: Root {
            version: 4,
            parts: refs,
            ..Root::default()
        },
        parts,
    }
}

fn status() -> GatewayStatus {
    GatewayStatus {
        name: "g".into(),
        failure_domain: "a".into(),
        config_version: 4,
        ready: true,
        draining: false,
        platform_answers: true,
        in_flight: 1,
        queued: 2,
    }
}

fn request() -> RequestInfo {
    RequestInfo {
        id: "r".into(),
        gateway: "g".into(),
        organisation: "o".into(),
        service: "s".into(),
        priority: 1,
        state: RequestState::Running,
        upstream: Some("e".into()),
        age: Duration::from_millis(5),
    }
}

fn upstream() -> UpstreamInfo {
    UpstreamInfo {
        name: "e".into(),
        gateway: "g".into(),
        own_running: 1,
        running: 2,
        fill: 0.5,
        leaving: false,
        circuit: "closed".into(),
        report_age: None,
    }
}

fn explanation() -> Explanation {
    Explanation {
        at: Duration::from_secs(1),
        waited: Duration::from_millis(2),
        rule: "rule".into(),
        chosen: Some("e".into()),
        candidates: vec![CandidateNote {
            upstream: "e".into(),
            score: 0.1,
            running: 1,
            fill: 0.2,
            fits: true,
            first_token_ms: 640,
            event_gap_ms: Some(40),
        }],
    }
}

impl Peer for Example {
    async fn hello(self, _: Context, _: Hello) -> Hello {
        Hello {
            protocol: self.protocol,
            name: "example".into(),
        }
    }

    async fn heartbeat(self, _: Context, digest: Digest) -> Digest {
        if self.silent {
            std::future::pending::<()>().await;
        }
        digest
    }

    async fn config(self, _: Context) -> Option<ConfigBundle> {
        Some(bundle())
    }

    async fn offer(self, _: Context, bundle: ConfigBundle) -> ConfigVersion {
        bundle.root.version
    }

    async fn check(self, _: Context, _: ConfigBundle) -> Option<String> {
        Some("no".into())
    }

    async fn claim(self, _: Context, claim: Claim) -> ClaimAnswer {
        ClaimAnswer::Known(claim)
    }

    async fn take_over(self, _: Context, _: Claim, _: Claim) -> ClaimAnswer {
        ClaimAnswer::Won
    }

    async fn claimed(self, _: Context, _: Claim) -> ClaimedState {
        ClaimedState::Ended(Outcome::Complete)
    }

    async fn status(self, _: Context) -> GatewayStatus {
        status()
    }

    async fn requests(self, _: Context, most: u32) -> Vec<RequestInfo> {
        vec![request(); most as usize]
    }

    async fn upstreams(self, _: Context) -> Vec<UpstreamInfo> {
        vec![upstream()]
    }

    async fn why(self, _: Context, _: String) -> Vec<Explanation> {
        vec![explanation()]
    }
}

async fn example(protocol: u32, silent: bool) -> Connection {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let addr = serve(addr, Example { protocol, silent }).await.unwrap();
    Connection::new(addr, "test", Duration::from_millis(300))
}

/// Every message survives the way there and back.
#[actix_rt::test]
async fn messages_survive_the_codec() {
    let mut c = example(PROTOCOL, false).await;
    let digest = Digest {
        name: "g".into(),
        uses: vec![UpstreamUse {
            upstream: "e".into(),
            running: 3,
            peak_tokens: 9,
            held_tokens: 0,
            loading_tokens: 0,
            lost_ms: None,
            handovers: 0,
            recent_handovers: 0,
        }],
        marks: vec![MarkEntry {
            upstream: "e".into(),
            source: MarkSource::Operator,
            mark: Mark {
                stamp: Duration::from_secs(7),
                leaving: true,
            },
        }],
        ..Digest::default()
    };
    let sent = digest.clone();
    let back = c.call(async move |p, cx| p.heartbeat(cx, sent).await).await;
    assert_eq!(back.unwrap(), digest);
    assert_eq!(
        c.call(async |p, cx| p.config(cx).await).await.unwrap(),
        Some(bundle())
    );
    assert_eq!(
        c.call(async |p, cx| p.offer(cx, bundle()).await)
            .await
            .unwrap(),
        4
    );
    assert_eq!(
        c.call(async |p, cx| p.check(cx, bundle()).await)
            .await
            .unwrap()
            .unwrap(),
        "no"
    );
    let claim = Claim {
        key: "k".into(),
        request: "r".into(),
        gateway: "g".into(),
    };
    let (a, b) = (claim.clone(), claim.clone());
    let answer = c.call(async move |p, cx| p.claim(cx, a).await).await;
    assert_eq!(answer.unwrap(), ClaimAnswer::Known(claim));
    let state = c.call(async move |p, cx| p.claimed(cx, b).await).await;
    assert_eq!(state.unwrap(), ClaimedState::Ended(Outcome::Complete));
    assert_eq!(
        c.call(async |p, cx| p.status(cx).await).await.unwrap(),
        status()
    );
    assert_eq!(
        c.call(async |p, cx| p.requests(cx, 2).await).await.unwrap(),
        [request(), request()]
    );
    assert_eq!(
        c.call(async |p, cx| p.upstreams(cx).await).await.unwrap(),
        [upstream()]
    );
    assert_eq!(
        c.call(async |p, cx| p.why(cx, "r".into()).await)
            .await
            .unwrap(),
        [explanation()]
    );
}

#[actix_rt::test]
async fn another_protocol_is_not_spoken_to() {
    let mut c = example(PROTOCOL + 1, false).await;
    let error = c.call(async |p, cx| p.status(cx).await).await.unwrap_err();
    assert!(matches!(error, RpcError::Protocol { theirs, .. } if theirs == PROTOCOL + 1));
}

#[actix_rt::test]
async fn a_silent_peer_costs_its_time_limit_and_no_more() {
    let mut c = example(PROTOCOL, true).await;
    let error = c
        .call(async |p, cx| p.heartbeat(cx, Digest::default()).await)
        .await;
    assert!(matches!(error, Err(RpcError::Call(..))), "{error:?}");
    // The next call connects anew.
    assert!(c.call(async |p, cx| p.status(cx).await).await.is_ok());
}

#[actix_rt::test]
async fn nobody_there_is_told_as_such() {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut c = Connection::new(addr, "test", Duration::from_millis(300));
    let error = c.call(async |p, cx| p.status(cx).await).await.unwrap_err();
    assert!(matches!(error, RpcError::Connect(..)), "{error:?}");
}
