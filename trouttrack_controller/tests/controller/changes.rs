//! A change is in force, or refused, or it is said how it will be settled.

use crate::support::{Bed, FLEET, OPERATOR, VIEWER};
use serde_json::{Value, json};
use trouttrack_controller::changes::ChangeOutcome::{
    Conflict, InForce, NotWritten, Refused, Unsettled,
};
use trouttrack_controller::changes::{ChangeAnswer, ChangeOutcome};
use trouttrack_standin::platform::PlatformFaultKind::{
    self, Down, LateEffect, LoseCall, LoseReply, Slow,
};

fn versions(bed: &Bed) -> Vec<u64> {
    bed.gateways
        .iter()
        .map(|g| g.shared.view().version())
        .collect()
}

#[actix_rt::test]
async fn a_change_is_in_force_on_every_gateway_when_it_is_answered() {
    let bed = Bed::serving(3, 1).await;
    let answer = bed.change("set service lookup priority=urgent").await;
    assert_eq!(answer.outcome, InForce);
    assert_eq!(answer.version, Some(2));
    assert_eq!(answer.in_force.len(), 3);
    assert_eq!(versions(&bed), [2, 2, 2]);
    for g in &bed.gateways {
        let view = g.shared.view();
        assert_eq!(
            view.service("lookup").unwrap().priority.to_string(),
            "urgent"
        );
    }
}

#[actix_rt::test]
async fn a_wrong_change_is_refused_with_all_findings_and_changes_nothing() {
    let bed = Bed::serving(1, 1).await;
    let (status, body) = bed
        .say("set service lookup priority=soon delivery=later colour=red")
        .await;
    assert_eq!(status, 422);
    assert_eq!(body["findings"].as_array().unwrap().len(), 3, "{body}");
    assert_eq!(bed.change("delete service lookup").await.outcome, InForce);
    assert_eq!(bed.change("delete service lookup").await.outcome, Refused);
    assert_eq!(versions(&bed), [2]);
}

struct Row {
    name: &'static str,
    kind: PlatformFaultKind,
    times: Option<u32>,
    outcome: ChangeOutcome,
}

#[rustfmt::skip]
const ROWS: &[Row] = &[
    Row { name: "down for a moment",     kind: Down,                   times: Some(1), outcome: InForce },
    Row { name: "down",                  kind: Down,                   times: None,    outcome: NotWritten },
    Row { name: "call lost",             kind: LoseCall,               times: Some(1), outcome: InForce },
    Row { name: "reply lost",            kind: LoseReply,              times: Some(1), outcome: InForce },
    Row { name: "replies lost, thrice",  kind: LoseReply,              times: Some(3), outcome: InForce },
    Row { name: "effect comes late",     kind: LateEffect { ms: 100 }, times: Some(1), outcome: InForce },
    Row { name: "slow",                  kind: Slow { ms: 100 },       times: Some(6), outcome: InForce },
];

async fn row(row: &Row) {
    let bed = Bed::serving(2, 1).await;
    bed.arm(row.kind, row.times, true);
    let answer = bed.change("set organisation dealer weight=5").await;
    assert_eq!(answer.outcome, row.outcome, "{}: {answer:?}", row.name);
    let in_force = if row.outcome == InForce { 2 } else { 1 };
    assert_eq!(versions(&bed), [in_force, in_force], "{}", row.name);
}

#[actix_rt::test]
async fn faults_of_the_platform() {
    futures_util::future::join_all(ROWS.iter().map(row)).await;
}

/// Every reply to a write is lost for longer than the controller waits: it
/// says so, and the change's state can be asked for.
#[actix_rt::test]
async fn an_unsettled_change_is_settled_later() {
    let bed = Bed::serving(1, 1).await;
    // The part and the change's object are written; the root's replies are lost.
    bed.arm(Slow { ms: 0 }, Some(2), true);
    bed.arm(LoseReply, None, true);
    let answer = bed.change("set organisation dealer weight=5").await;
    assert_eq!(answer.outcome, Unsettled, "{answer:?}");
    bed.platform.state.disarm();
    let url = format!(
        "{}/v1/changes/{}?base={}",
        bed.url(0),
        answer.change,
        answer.base
    );
    let mut res = bed.http.get(url).bearer_auth(VIEWER).send().await.unwrap();
    let state: Value = res.json().await.unwrap();
    assert_eq!(state["state"], "committed");
}

#[actix_rt::test]
async fn of_racing_operators_one_wins_and_the_other_is_told_what_changed() {
    let bed = Bed::serving(2, 2).await;
    let body = |weight: u32| json!({ "text": format!("set organisation dealer weight={weight}"), "base": 1 });
    let (two, three) = (body(2), body(3));
    let (a, b) = futures_util::join!(
        bed.say_as(0, OPERATOR, &two),
        bed.say_as(1, OPERATOR, &three)
    );
    let answers: Vec<ChangeAnswer> = [a, b]
        .into_iter()
        .map(|(_, body)| serde_json::from_value(body).unwrap())
        .collect();
    let won = answers.iter().filter(|a| a.outcome == InForce).count();
    assert_eq!(won, 1, "{answers:?}");
    let lost = answers.iter().find(|a| a.outcome == Conflict).unwrap();
    assert_eq!(lost.meanwhile.len(), 1);
    assert_eq!(lost.meanwhile[0].author, "anna");
    assert!(
        lost.meanwhile[0]
            .summary
            .starts_with("set organisation dealer weight=")
    );
}

#[actix_rt::test]
async fn a_gateway_that_is_cut_off_is_named_and_holds_nothing_up() {
    let mut bed = Bed::serving(2, 0).await;
    let gone = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let controller = bed.controller_with("controller-0", &[gone]);
    bed.controllers.push(controller);
    let answer = bed.change("set organisation dealer weight=7").await;
    assert_eq!(answer.outcome, InForce);
    assert_eq!(answer.in_force.len(), 2);
    assert_eq!(answer.unreachable, [gone.to_string()]);
    // One that is born later has the newest version from the platform.
    let late = bed.gateway("late").await;
    for _ in 0..2000 {
        if late.shared.view().version() == 2 {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    panic!("version {}", late.shared.view().version());
}

#[actix_rt::test]
async fn a_gateway_never_goes_back_to_an_older_version() {
    let bed = Bed::serving(1, 1).await;
    let bundle = bed.gateways[0].shared.bundle().unwrap();
    let mut newer = (*bundle).clone();
    newer.root.version = 9;
    let source = trouttrack_gateway::app::Source::Peer;
    assert!(bed.gateways[0].shared.adopt(newer, source));
    bed.change("set organisation dealer weight=7").await;
    assert_eq!(versions(&bed), [9]);
}

#[actix_rt::test]
async fn undo_is_a_new_version_and_diff_shows_what_it_did() {
    let bed = Bed::serving(1, 1).await;
    bed.change("set organisation dealer weight=7").await;
    let answer = bed.change("undo 1").await;
    assert_eq!((answer.outcome, answer.version), (InForce, Some(3)));
    let (_, none) = bed.say("diff 1 3").await;
    assert_eq!(none["rows"].as_array().unwrap().len(), 0);
    let (_, one) = bed.say("diff 2").await;
    assert_eq!(one["rows"][0]["field"], "weight", "{one}");
    assert_eq!(bed.say("undo 77").await.0, 404);
}

#[actix_rt::test]
async fn the_history_says_who_did_what_and_keeps_no_secret() {
    let bed = Bed::serving(1, 1).await;
    bed.change("set organisation dealer key=new-secret").await;
    let (_, body) = bed.say("show history order by version desc").await;
    let rows = body["rows"].as_array().unwrap();
    assert_eq!(rows.len(), 2);
    assert_eq!(rows[0]["author"], "anna");
    assert_eq!(rows[0]["summary"], "set organisation dealer key=***");
    for text in ["show organisations", "show config", "show history"] {
        let (_, body) = bed.say(text).await;
        assert!(!body.to_string().contains("new-secret"));
    }
}

#[actix_rt::test]
async fn keys_and_roles() {
    let bed = Bed::new(0, 1).await;
    let drain = json!({ "text": "drain engine-1" });
    assert_eq!(bed.say_as(0, "wrong", &drain).await.0, 401);
    assert_eq!(bed.say_as(0, VIEWER, &drain).await.0, 403);
    let show = json!({ "text": "show vms" });
    assert_eq!(bed.say_as(0, VIEWER, &show).await.0, 200);
    let (status, body) = bed.say_as(0, VIEWER, &json!({ "text": "shwo vms" })).await;
    assert_eq!(status, 400);
    assert!(
        body["error"]["message"]
            .as_str()
            .unwrap()
            .contains("did you mean `show`?")
    );
    assert_eq!(bed.say_as(0, VIEWER, &json!({ "wrong": 1 })).await.0, 400);
}

#[actix_rt::test]
async fn a_wrong_fleet_file_is_refused_with_lines() {
    let bed = Bed::new(1, 1).await;
    let answer = bed
        .apply(&FLEET.replace("repeatable = yes", "repeatable = maybe"))
        .await;
    assert_eq!(answer.outcome, Refused);
    assert!(answer.findings[0].starts_with("fleet.ini:3:"), "{answer:?}");
    assert_eq!(versions(&bed), [0]);
}
