//! Commits: one wins, lost replies are settled, refused means never.

use crate::support::{client, fault, platform};
use proptest::prelude::*;
use std::time::Duration;
use trouttrack_config::fleet::{Fleet, Organisation, hash_key};
use trouttrack_standin::platform::PlatformFaultKind;
use trouttrack_state::ConfigStore;
use trouttrack_state::config_store::{Commit, Proposal, Stored};

fn proposal(change: &str) -> Proposal {
    Proposal {
        change: change.to_owned(),
        author: "test".to_owned(),
        summary: format!("does {change}"),
        fleet: Fleet {
            organisations: vec![Organisation {
                name: change.to_owned(),
                keys: vec![hash_key(change)],
                weight: 1.0,
                max_running: None,
            }],
            ..Fleet::default()
        },
    }
}

#[actix_rt::test]
async fn versions_rise_and_the_past_is_kept() {
    let (_platform, client) = platform();
    let store = ConfigStore::new(client);
    let mut stored = Stored::default();
    for i in 1..=3 {
        let change = format!("c{i}");
        let done = store.commit(&stored, &proposal(&change)).await;
        assert!(
            matches!(done, Commit::Done(ref root) if root.version == i),
            "{done:?}"
        );
        stored = store.root().await.unwrap();
    }
    assert_eq!(stored.root.recent.len(), 3);
    let past = store.past("c1").await.unwrap().unwrap();
    let view = store.view(&past, &[]).await.unwrap();
    assert_eq!(view.fleet, proposal("c1").fleet);
}

#[actix_rt::test]
async fn of_two_racing_operators_one_wins_and_the_other_is_told() {
    let (platform, client_a) = platform();
    let (a, b) = (
        ConfigStore::new(client_a),
        ConfigStore::new(client(&platform)),
    );
    let base = a.root().await.unwrap();
    let (pa, pb) = (proposal("a"), proposal("b"));
    let (first, second) = futures_util::join!(a.commit(&base, &pa), b.commit(&base, &pb));
    let won = [&first, &second]
        .iter()
        .filter(|c| matches!(c, Commit::Done(_)))
        .count();
    assert_eq!(won, 1, "{first:?} {second:?}");
    let told = [&first, &second].iter().any(|c| match c {
        Commit::Conflict(root) => root.recent.len() == 1,
        _ => false,
    });
    assert!(told, "{first:?} {second:?}");
}

#[actix_rt::test]
async fn nothing_is_written_while_the_platform_is_down() {
    let (platform, client) = platform();
    let store = ConfigStore::new(client);
    platform.state.arm(fault(PlatformFaultKind::Down, None));
    let commit = store.commit(&Stored::default(), &proposal("c")).await;
    assert!(matches!(commit, Commit::NotWritten(_)), "{commit:?}");
    platform.state.disarm();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(store.root().await.unwrap().object_version, 0);
}

fn kind() -> impl Strategy<Value = PlatformFaultKind> {
    prop_oneof![
        Just(PlatformFaultKind::Down),
        Just(PlatformFaultKind::LoseCall),
        Just(PlatformFaultKind::LoseReply),
        Just(PlatformFaultKind::LateEffect { ms: 60 }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    /// Two operators commit in turn on what each last saw, with faults
    /// between. Done is in the history for good, refused never is, versions
    /// only rise.
    #[test]
    fn done_stays_and_refused_never_comes(
        acts in prop::collection::vec((any::<bool>(), prop::option::of(kind()), any::<bool>()), 1..7),
    ) {
        actix_rt::System::new().block_on(async {
            let (platform, client_a) = platform();
            let stores = [ConfigStore::new(client_a), ConfigStore::new(client(&platform))];
            let mut seen = [Stored::default(), Stored::default()];
            let (mut done, mut refused) = (Vec::new(), Vec::new());
            let mut newest = 0;
            for (i, (who, fault_kind, looks)) in acts.into_iter().enumerate() {
                let who = usize::from(who);
                if looks {
                    seen[who] = stores[who].root().await.unwrap();
                }
                if let Some(kind) = fault_kind {
                    platform.state.arm(fault(kind, Some(1)));
                }
                let change = format!("c{i}");
                match stores[who].commit(&seen[who], &proposal(&change)).await {
                    Commit::Done(_) => done.push(change),
                    Commit::Conflict(_) | Commit::NotWritten(_) => refused.push(change),
                    Commit::Unsettled(_) => {}
                }
                platform.state.disarm();
                let now = stores[0].root().await.unwrap().root.version;
                assert!(now >= newest, "{now} after {newest}");
                newest = now;
            }
            tokio::time::sleep(Duration::from_millis(80)).await;
            let root = stores[0].root().await.unwrap().root;
            let has = |c: &String| root.recent.iter().any(|r| r.change == *c);
            assert!(done.iter().all(has), "{done:?} {root:?}");
            assert!(!refused.iter().any(has), "{refused:?} {root:?}");
        });
    }
}
