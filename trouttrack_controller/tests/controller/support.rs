//! A platform, gateways, a controller.

use awc::Client;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use trouttrack_config::settings::{ControllerSettings, GatewaySettings, load_text};
use trouttrack_controller::app::{Controller, start};
use trouttrack_controller::changes::{ChangeAnswer, ChangeOutcome};
use trouttrack_gateway::app::{Gateway, start as start_gateway};
use trouttrack_standin::platform::{
    PlatformFault, PlatformFaultKind, PlatformState, Rates, start as start_platform,
};
use trouttrack_standin::{Running, engine};

pub(crate) const OPERATOR: &str = "operator-key";
pub(crate) const VIEWER: &str = "viewer-key";

pub(crate) const FLEET: &str = "\
[service lookup]
model = m
repeatable = yes
priority = normal

[service letter]
model = m
repeatable = no
delivery = whole

[organisation dealer]
key = dealer-key

[organisation garage]
key = garage-key
weight = 2
";

pub(crate) struct Bed {
    pub(crate) platform: Running<Arc<PlatformState>>,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) controllers: Vec<Controller>,
    pub(crate) http: Client,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Bed {
    pub(crate) async fn new(gateways: usize, controllers: usize) -> Self {
        let platform = start_platform(any_port(), Rates::default(), Duration::ZERO)
            .unwrap()
            .background();
        let mut bed = Self {
            platform,
            gateways: Vec::new(),
            controllers: Vec::new(),
            http: Client::builder().timeout(Duration::from_secs(30)).finish(),
        };
        for i in 0..gateways {
            let gateway = bed.gateway(&format!("gateway-{i}")).await;
            bed.gateways.push(gateway);
        }
        for i in 0..controllers {
            let controller = bed.controller(&format!("controller-{i}"));
            bed.controllers.push(controller);
        }
        bed
    }

    pub(crate) async fn gateway(&self, name: &str) -> Gateway {
        let peers: Vec<String> = self
            .gateways
            .iter()
            .map(|g| g.rpc_addr.to_string())
            .collect();
        let text = format!(
            "[vm]\nname = {name}\nfailure_domain = a\n[platform]\nurl = {}\ntimeout = 200ms\n\
             calls_per_second = 1000\n[rpc]\npeers = {}\n\
             [caller]\nlisten = 127.0.0.1:0\nworkers = 1\nhandle_secret = s\n",
            self.platform.url(),
            peers.join(", ")
        );
        start_gateway(load_text::<GatewaySettings>("g", &text).unwrap())
            .await
            .unwrap()
    }

    pub(crate) fn controller(&self, name: &str) -> Controller {
        self.controller_with(name, &[])
    }

    /// A controller that is also told of gateways that are not there.
    pub(crate) fn controller_with(&self, name: &str, dead: &[SocketAddr]) -> Controller {
        let alive = self.gateways.iter().map(|g| g.rpc_addr);
        let peers: Vec<String> = alive
            .chain(dead.iter().copied())
            .map(|a| a.to_string())
            .collect();
        let text = format!(
            "[vm]\nname = {name}\nfailure_domain = a\n[platform]\nurl = {}\ntimeout = 200ms\n\
             calls_per_second = 1000\n[rpc]\npeers = {}\n\
             [admin]\nlisten = 127.0.0.1:0\nin_force_timeout = 1s\n\
             key = anna:operator:{OPERATOR}, ben:viewer:{VIEWER}\n\
             [orders]\nlease = 1s\nevery = 100ms\npace = 10ms\n",
            self.platform.url(),
            peers.join(", ")
        );
        start(load_text::<ControllerSettings>("c", &text).unwrap()).unwrap()
    }

    pub(crate) fn url(&self, controller: usize) -> String {
        format!("http://{}", self.controllers[controller].admin_addr)
    }

    /// Sends a command; returns the status and the body.
    pub(crate) async fn say_as(&self, controller: usize, key: &str, body: &Value) -> (u16, Value) {
        let url = format!("{}/v1/command", self.url(controller));
        let req = self.http.post(url).bearer_auth(key);
        let mut res = req.send_json(body).await.unwrap();
        let body = res.json().limit(1 << 22).await.unwrap_or(Value::Null);
        (res.status().as_u16(), body)
    }

    pub(crate) async fn say(&self, text: &str) -> (u16, Value) {
        self.say_as(0, OPERATOR, &json!({ "text": text })).await
    }

    pub(crate) async fn change(&self, text: &str) -> ChangeAnswer {
        let (_, body) = self.say(text).await;
        serde_json::from_value(body.clone()).unwrap_or_else(|e| panic!("{e}: {body}"))
    }

    pub(crate) async fn apply(&self, fleet: &str) -> ChangeAnswer {
        let url = format!("{}/v1/config", self.url(0));
        let req = self.http.put(url).bearer_auth(OPERATOR);
        let mut res = req.send_body(fleet.to_owned()).await.unwrap();
        res.json().await.unwrap()
    }

    /// A bed with a configuration in force.
    pub(crate) async fn serving(gateways: usize, controllers: usize) -> Self {
        let mut bed = Self::new(gateways, controllers.max(1)).await;
        let answer = bed.apply(FLEET).await;
        assert_eq!(answer.outcome, ChangeOutcome::InForce, "{answer:?}");
        bed.controllers.truncate(controllers);
        bed
    }

    pub(crate) fn arm(&self, kind: PlatformFaultKind, times: Option<u32>, writes_only: bool) {
        self.platform.state.arm(PlatformFault {
            kind,
            times,
            writes_only,
        });
    }

    /// An engine, added to the configuration as `engine-1`.
    pub(crate) async fn engine(&self) -> Running<Arc<engine::EngineState>> {
        self.engine_with(engine::EngineOptions::default()).await
    }

    pub(crate) async fn engine_with(
        &self,
        options: engine::EngineOptions,
    ) -> Running<Arc<engine::EngineState>> {
        let running = engine::start(any_port(), options).unwrap().background();
        let answer = self
            .change(&format!(
                "create upstream engine-1 url={} failure_domain=a services=lookup,letter capacity_tokens=49152",
                running.url()
            ))
            .await;
        assert_eq!(answer.outcome, ChangeOutcome::InForce, "{answer:?}");
        running
    }
}
