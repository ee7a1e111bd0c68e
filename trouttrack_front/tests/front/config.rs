//! Tests of configuration updates and routing.

use crate::support::{Bed, HOST, KEY, PLAIN, config, plain, route, until};
use trouttrack_core::fleet::RouteKind;
use trouttrack_core::membership::Revision;
use trouttrack_platform_standin::{CallerRequest, Upstream};

#[actix_rt::test]
async fn a_new_route_is_served_and_a_removed_one_is_not() {
    let bed = Bed::new(PLAIN).await;
    assert_eq!(bed.send(&plain("r1", "new")).await.status, 404);
    let mut next = config(2);
    next.routes.retain(|r| r.name != "once");
    let kind = RouteKind::Plain { repeatable: true };
    next.routes.push(route("new", PLAIN, kind, 1));
    bed.store.put_config(&next);
    until("version 2 is in force", || {
        bed.front.front.routing.version() == 2
    })
    .await;
    assert_eq!(bed.send(&plain("r2", "new")).await.status, 200);
    assert_eq!(bed.send(&plain("r3", "once")).await.status, 404);
}

// A lower version written later replaces a higher one.
#[actix_rt::test]
async fn an_older_version_is_not_put_in_force() {
    let bed = Bed::new(PLAIN).await;
    bed.store.put_config(&config(7));
    until("version 7 is in force", || {
        bed.front.front.routing.version() == 7
    })
    .await;
    bed.store.put_config(&config(3));
    bed.store.put_config(&config(8));
    until("version 8 is in force", || {
        bed.front.front.routing.version() == 8
    })
    .await;
}

// A configuration that arrives out of order replaces a newer one.
#[actix_rt::test]
async fn a_revision_received_late_is_ignored() {
    let bed = Bed::new(PLAIN).await;
    let routing = &bed.front.front.routing;
    let known = routing.revision();
    let after_known = |offset| Revision::new(known.epoch, known.number + offset);
    let later = after_known(100);
    assert!(routing.put(later, config(9)));
    assert!(!routing.put(after_known(99), config(9)));
    assert!(!routing.put(after_known(98), config(8)));
    assert_eq!((routing.revision(), routing.version()), (later, 9));
}

#[actix_rt::test]
async fn the_longest_matching_prefix_wins() {
    let bed = Bed::new(PLAIN).await;
    let mut next = config(2);
    let kind = RouteKind::Plain { repeatable: true };
    let mut inner = route("many", "nobody", kind, 1);
    inner.path_prefix = "/many/inner/".to_owned();
    next.routes.push(inner);
    bed.store.put_config(&next);
    until("version 2 is in force", || {
        bed.front.front.routing.version() == 2
    })
    .await;
    let at = |path: &str| CallerRequest::get("r", HOST, path).key(KEY);
    assert_eq!(bed.send(&at("/many/x")).await.status, 200);
    assert_eq!(bed.send(&at("/many/inner/x")).await.status, 503);
    // A prefix includes its trailing slash, so the path without it does not match.
    assert_eq!(bed.send(&at("/many")).await.status, 404);
}

#[actix_rt::test]
async fn a_public_route_needs_no_key_and_others_do() {
    let bed = Bed::new(PLAIN).await;
    let without = |path: &str| CallerRequest::get("r", HOST, path);
    assert_eq!(bed.send(&without("/open/x")).await.status, 200);
    assert_eq!(bed.send(&without("/many/x")).await.status, 401);
    assert_eq!(bed.send(&without("/many/x").key("other")).await.status, 401);
    let arrivals = bed.upstreams.iter().flat_map(Upstream::arrivals);
    assert!(arrivals.into_iter().all(|a| a.organisation.is_none()));
}

#[actix_rt::test]
async fn a_split_route_uses_all_its_services() {
    let bed = Bed::new(PLAIN).await;
    let other = Upstream::start("u3", "second", "a").await;
    bed.store.put_upstream(&other, false);
    let mut next = config(2);
    let share = |service: &str, weight| trouttrack_core::fleet::Share {
        service: service.to_owned(),
        weight,
    };
    next.routes[0].shares = vec![share(PLAIN, 50.0), share("second", 50.0)];
    bed.store.put_config(&next);
    until("version 2 is in force", || {
        bed.front.front.routing.version() == 2
    })
    .await;
    until("the upstream is known", || {
        bed.front.front.upstreams.get("u3").is_some()
    })
    .await;
    for n in 0..40 {
        assert_eq!(bed.send(&plain(&format!("r{n}"), "many")).await.status, 200);
    }
    let second = other.arrivals().len();
    assert!((4..=36).contains(&second), "{second} of 40");
}
