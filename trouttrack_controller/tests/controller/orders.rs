//! Orders: one holder gives them, with its epoch; all that is missing is loaded.

use crate::support::Bed;
use std::time::Duration;
use trouttrack_standin::engine::EngineOptions;

async fn until(what: &str, f: impl Fn() -> bool) {
    for _ in 0..4000 {
        if f() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("never: {what}");
}

#[actix_rt::test]
async fn an_engine_is_told_to_load_what_its_services_need() {
    let bed = Bed::serving(1, 2).await;
    let engine = bed
        .engine_with(EngineOptions {
            weight_fetch: Duration::ZERO,
            ..EngineOptions::default()
        })
        .await;
    let loaded = || engine.state.orders().models.contains("m@current");
    until("the model is loaded", loaded).await;
    let orders = engine.state.orders().obeyed;
    assert_eq!(orders.len(), 1, "{orders:?}");
    let (_, leases) = bed.say("show leases").await;
    let row = &leases["rows"][0];
    assert_eq!(row["name"], "orders", "{leases}");
    assert_eq!(row["epoch"], orders[0].epoch, "{leases}");
}
