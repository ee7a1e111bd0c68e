//! A leaving upstream gets no new work, wherever the news came from, and what
//! runs there goes on.

use crate::support::{Bed, until};
use trouttrack_config::fleet::{Evacuation, Fleet};
use trouttrack_standin::platform::{PlatformFault, PlatformFaultKind, VmEntry, VmState};

async fn gets_no_new_work(bed: &Bed) {
    let before = bed.engines[0].state.ledger().len();
    for i in 0..6 {
        let answer = bed.ask("stream-many", &format!("new work {i}"), 3).await;
        assert_eq!(answer.outcome, "complete");
    }
    assert_eq!(bed.engines[0].state.ledger().len(), before);
}

async fn gets_work_again(bed: &Bed) {
    let before = bed.engines[0].state.ledger().len();
    bed.ask("stream-many", "work again", 3).await;
    assert_eq!(bed.engines[0].state.ledger().len(), before + 1);
}

async fn put_in_force(bed: &Bed, fleet: &Fleet) {
    let version = bed.configure(fleet).await;
    let shared = bed.gateways[0].shared.clone();
    until("the configuration is in force", || {
        shared.view().version() == version
    })
    .await;
}

async fn known_at(bed: &Bed, gateway: usize) {
    let shared = bed.gateways[gateway].shared.clone();
    until("the gateway knows", || {
        shared
            .all_marks()
            .iter()
            .any(|e| e.upstream == "engine-0" && e.mark.leaving)
    })
    .await;
}

#[actix_web::test]
async fn by_its_own_notice() {
    let bed = Bed::new(1).await;
    let runs_on = bed.ask("stream-many", "runs on", 200);
    let leaves = async {
        until("it runs", || !bed.runs("runs on").is_empty()).await;
        bed.engines[0].state.set_leaving(true);
        known_at(&bed, 0).await;
        gets_no_new_work(&bed).await;
    };
    let (answer, ()) = futures_util::join!(runs_on, leaves);
    assert_eq!(answer.outcome, "complete");
    assert_eq!(bed.runs("runs on").len(), 1);
}

#[actix_web::test]
async fn by_the_vm_list() {
    let bed = Bed::new(1).await;
    bed.platform.state.set_vms(vec![VmEntry {
        name: "engine-0".to_owned(),
        addr: String::new(),
        failure_domain: "a".to_owned(),
        state: VmState::Leaving,
    }]);
    known_at(&bed, 0).await;
    gets_no_new_work(&bed).await;
}

#[actix_web::test]
async fn by_an_operator() {
    let bed = Bed::new(1).await;
    let mut fleet = bed.fleet();
    fleet.upstreams[0].draining = true;
    put_in_force(&bed, &fleet).await;
    gets_no_new_work(&bed).await;
    fleet.upstreams[0].draining = false;
    put_in_force(&bed, &fleet).await;
    gets_work_again(&bed).await;
}

#[actix_web::test]
async fn by_an_evacuation_of_its_failure_domain() {
    let bed = Bed::new(1).await;
    let mut fleet = bed.fleet();
    let name = fleet.upstreams[0].failure_domain.clone();
    fleet.evacuations.push(Evacuation { name });
    put_in_force(&bed, &fleet).await;
    gets_no_new_work(&bed).await;
    fleet.evacuations.clear();
    put_in_force(&bed, &fleet).await;
    gets_work_again(&bed).await;
}

/// With the platform down, a peer's word is enough.
#[actix_web::test]
async fn by_a_peer() {
    let mut bed = Bed::new(1).await;
    let peer = bed.gateways[0].rpc_addr;
    let caller = "[caller]\nlisten = 127.0.0.1:0\nhandle_secret = shared\n[rpc]\npeers = ";
    let second = bed.gateway("gateway-1", &format!("{caller}{peer}\n")).await;
    bed.platform.state.arm(PlatformFault {
        kind: PlatformFaultKind::Down,
        times: None,
        writes_only: false,
    });
    // Only the second gateway hears the notice: it tells the first.
    let mark = trouttrack_core::membership::MarkSource::Operator;
    second.shared.observe_leaving("engine-0", true, mark);
    bed.gateways.push(second);
    known_at(&bed, 0).await;
    gets_no_new_work(&bed).await;
}

/// Born while the platform is down, a gateway serves with its peer's
/// configuration.
#[actix_web::test]
async fn a_gateway_born_in_an_outage_serves_from_its_peer() {
    let bed = Bed::new(1).await;
    bed.platform.state.arm(PlatformFault {
        kind: PlatformFaultKind::Down,
        times: None,
        writes_only: false,
    });
    let peer = bed.gateways[0].rpc_addr;
    let caller = "[caller]\nlisten = 127.0.0.1:0\nhandle_secret = shared\n[rpc]\npeers = ";
    let second = bed.gateway("gateway-1", &format!("{caller}{peer}\n")).await;
    assert_eq!(
        second.shared.view().version(),
        bed.gateways[0].shared.view().version()
    );
    assert!(!second.shared.platform_up());
    let url = format!("http://{}", second.caller_addr);
    let json = crate::support::body("stream-many", "born in an outage", 5, true);
    let answer = crate::support::post(&bed.http, &url, crate::support::KEY, &json).await;
    assert_eq!(answer.outcome, "complete");
    bed.platform.state.disarm();
    until("the platform is back", || second.shared.platform_up()).await;
}
