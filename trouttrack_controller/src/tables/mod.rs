//! The rows that queries run over.

use crate::changes::Current;
use crate::gateways::{Answer, Gateways};
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use trouttrack_config::fleet::{Organisation, Upstream};
use trouttrack_language::{Row, Table};
use trouttrack_rpc::UpstreamInfo;
use trouttrack_state::ConfigStore;
use trouttrack_state::config_store::StoreError;

/// The most requests taken from one gateway.
const REQUESTS: u32 = 10_000;
const LEASES: &str = "leases/";

/// Rows of a table, and who did not answer.
#[derive(Debug, Default)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Gateways that did not answer.
    pub unreachable: Vec<String>,
}

fn row(value: &impl Serialize) -> Row {
    match serde_json::to_value(value) {
        Ok(Value::Object(map)) => map,
        _ => Row::new(),
    }
}

/// Keeps the answers that came and notes the gateways of those that did not.
fn answered<T>(answers: Vec<Answer<T>>, unreachable: &mut Vec<String>) -> Vec<T> {
    let mut out = Vec::new();
    for a in answers {
        match a.result {
            Ok(value) => out.push(value),
            Err(_) => unreachable.push(a.addr.to_string()),
        }
    }
    out
}

/// Makes the rows of a table.
///
/// # Errors
///
/// Neither the platform nor a gateway has the configuration.
pub async fn rows(
    table: Table,
    store: &ConfigStore,
    gateways: &Gateways,
) -> Result<Rows, StoreError> {
    match table {
        Table::Vms => Ok(vms(gateways).await),
        Table::Requests => Ok(requests(gateways).await),
        Table::Leases => leases(store).await,
        Table::Upstreams => upstreams(store, gateways).await,
        Table::Services
        | Table::Organisations
        | Table::Rules
        | Table::Evacuations
        | Table::Config
        | Table::History => {
            let current = Current::best(store, gateways).await?;
            Ok(Rows {
                rows: configured(table, &current),
                unreachable: Vec::new(),
            })
        }
    }
}

fn configured(table: Table, current: &Current) -> Vec<Row> {
    let fleet = &current.view.fleet;
    match table {
        Table::Services => fleet.services.iter().map(row).collect(),
        Table::Organisations => fleet.organisations.iter().map(organisation).collect(),
        Table::Rules => fleet.rules.iter().map(row).collect(),
        Table::Evacuations => fleet.evacuations.iter().map(row).collect(),
        Table::History => current.stored.root.recent.iter().map(row).collect(),
        _ => {
            let root = &current.stored.root;
            vec![row(&json!({
                "version": root.version,
                "author": root.author,
                "change": root.change,
                "from": format!("{:?}", current.origin).to_lowercase(),
                "services": fleet.services.len(),
                "organisations": fleet.organisations.len(),
                "upstreams": fleet.upstreams.len(),
                "rules": fleet.rules.len(),
                "evacuations": fleet.evacuations.len(),
            }))]
        }
    }
}

/// An organisation without its keys.
fn organisation(o: &Organisation) -> Row {
    let mut out = row(o);
    out.insert("keys".into(), o.keys.len().into());
    out
}

async fn vms(gateways: &Gateways) -> Rows {
    let mut out = Rows::default();
    let answers = gateways
        .call_all(async |client, cx| client.status(cx).await)
        .await;
    let statuses = answered(answers, &mut out.unreachable);
    out.rows = statuses.iter().map(row).collect();
    out
}

async fn requests(gateways: &Gateways) -> Rows {
    let mut out = Rows::default();
    let answers = gateways
        .call_all(async |client, cx| client.requests(cx, REQUESTS).await)
        .await;
    for r in answered(answers, &mut out.unreachable).iter().flatten() {
        let mut line = row(r);
        line.insert("age_ms".into(), (r.age.as_millis() as u64).into());
        line.remove("age");
        out.rows.push(line);
    }
    out
}

async fn leases(store: &ConfigStore) -> Result<Rows, StoreError> {
    let mut out = Rows::default();
    for change in store.client().list(LEASES).await?.changes {
        if let Some(object) = store.client().get(&change.key).await? {
            let mut line: Row = serde_json::from_slice(&object.body)?;
            let name = change.key.trim_start_matches(LEASES).to_owned();
            line.insert("name".into(), name.into());
            out.rows.push(line);
        }
    }
    Ok(out)
}

async fn upstreams(store: &ConfigStore, gateways: &Gateways) -> Result<Rows, StoreError> {
    let current = Current::best(store, gateways).await?;
    let mut out = Rows::default();
    let answers = gateways
        .call_all(async |client, cx| client.upstreams(cx).await)
        .await;
    let mut seen: BTreeMap<String, Vec<UpstreamInfo>> = BTreeMap::new();
    for info in answered(answers, &mut out.unreachable)
        .into_iter()
        .flatten()
    {
        seen.entry(info.name.clone()).or_default().push(info);
    }
    for u in &current.view.fleet.upstreams {
        let views = seen.get(&u.name).map_or(&[][..], Vec::as_slice);
        out.rows.push(upstream(u, views));
    }
    Ok(out)
}

/// An upstream as configured, with the gateways' views put together.
fn upstream(u: &Upstream, views: &[UpstreamInfo]) -> Row {
    let mut out = row(u);
    let own: u32 = views.iter().map(|v| v.own_running).sum();
    let running = views.iter().map(|v| v.running).max().unwrap_or(0);
    let fill = views.iter().map(|v| v.fill).fold(0.0, f64::max);
    let age = views.iter().filter_map(|v| v.report_age).min();
    out.insert("running".into(), own.max(running).into());
    out.insert("fill".into(), ((fill * 1000.0).round() / 1000.0).into());
    out.insert("leaving".into(), views.iter().any(|v| v.leaving).into());
    let open = views.iter().filter(|v| v.circuit != "closed").count();
    out.insert("circuits_open".into(), open.into());
    out.insert("gateways".into(), views.len().into());
    let age = age.map(|a| a.as_millis() as u64);
    out.insert("report_age_ms".into(), age.into());
    out
}
