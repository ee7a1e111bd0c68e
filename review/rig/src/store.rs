//! The platform's store: objects by kind and name, lists, watches and conditional writes.

use crate::http::{Message, Reader, answer};
use crate::json::Json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct Object {
    name: String,
    rev: u64,
    created_rev: u64,
    spec: Json,
}

impl Object {
    fn json(&self) -> Json {
        let number = |n: u64| Json::Number(n.to_string());
        let meta = vec![
            ("name".to_owned(), Json::Text(self.name.clone())),
            ("rev".to_owned(), number(self.rev)),
            ("created_rev".to_owned(), number(self.created_rev)),
            ("finalizers".to_owned(), Json::List(Vec::new())),
            ("deleting".to_owned(), Json::Bool(false)),
        ];
        Json::Table(vec![
            ("meta".to_owned(), Json::Table(meta)),
            ("spec".to_owned(), self.spec.clone()),
            ("status".to_owned(), Json::Null),
        ])
    }
}

#[derive(Clone, Debug)]
struct Event {
    kind: String,
    deleted: bool,
    object: Object,
}

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    /// History up to this revision is forgotten.
    forgotten: u64,
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key)
            && known.spec == spec
        {
            return known.clone();
        }
        self.rev += 1;
        let created_rev = self.objects.get(&key).map_or(self.rev, |o| o.created_rev);
        let object = Object {
            name: name.to_owned(),
            rev: self.rev,
            created_rev,
            spec,
        };
        self.objects.insert(key, object.clone());
        self.record(kind, false, object.clone());
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> Option<Object> {
        let mut object = self.objects.remove(&(kind.to_owned(), name.to_owned()))?;
        self.rev += 1;
        object.rev = self.rev;
        self.record(kind, true, object.clone());
        Some(object)
    }

    fn record(&mut self, kind: &str, deleted: bool, object: Object) {
        self.events.push(Event {
            kind: kind.to_owned(),
            deleted,
            object,
        });
    }
}

/// The way of one machine to the store.
#[derive(Clone)]
pub struct Door {
    pub addr: SocketAddr,
    shut: Arc<AtomicBool>,
}

impl Door {
    /// Turns the machine away from now on, without a word, or serves it again.
    pub fn set_shut(&self, shut: bool) {
        self.shut.store(shut, Ordering::SeqCst);
    }
}

/// A store that serves on threads of its own.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let spec = Json::parse(spec).expect("a spec in JSON");
        let (state, changed) = &*self.state;
        let object = state.lock().unwrap().put(kind, name, spec);
        changed.notify_all();
        object.rev
    }

    pub fn remove(&self, kind: &str, name: &str) -> u64 {
        let (state, changed) = &*self.state;
        let removed = state.lock().unwrap().remove(kind, name);
        changed.notify_all();
        removed.map_or(0, |o| o.rev)
    }

    /// An address of the store at which one machine can be turned away.
    pub fn door(&self, ip: &str) -> Door {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let door = Door {
            addr: listener.local_addr().expect("an address"),
            shut: Arc::default(),
        };
        let (store, serving) = (self.clone(), door.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, shut) = (store.clone(), Arc::clone(&serving.shut));
                thread::spawn(move || store.serve_unless(stream, &shut));
            }
        });
        door
    }

    fn serve(&self, stream: TcpStream) {
        self.serve_unless(stream, &AtomicBool::new(false));
    }

    /// Serves a channel. A call that begins or would be answered while `shut` holds gets no answer,
    /// and its channel says nothing more.
    fn serve_unless(&self, stream: TcpStream, shut: &AtomicBool) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(req)) = reader.message() {
            let answered = (!shut.load(Ordering::SeqCst)).then(|| self.call(&req));
            let answered = answered.filter(|_| !shut.load(Ordering::SeqCst));
            let Some((status, body)) = answered else {
                while reader.head().is_ok_and(|head| head.is_some()) {}
                return;
            };
            let headers = [("Content-Type", "application/json".to_owned())];
            if answer(&mut reader.stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, req: &Message) -> (u16, String) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        let param = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, v)| v.to_owned())
        };
        let body = || Json::parse(&String::from_utf8_lossy(&req.body));
        match (req.method(), name) {
            ("GET", None) => match param("watch").and_then(|rev| rev.parse().ok()) {
                Some(rev) => {
                    let wait = param("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    self.watch(&kind, rev, Duration::from_millis(wait))
                }
                None => self.list(&kind, param("since_rev")),
            },
            ("GET", Some(name)) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind, name)) {
                    Some(object) => (200, object.json().to_string()),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", None) => self.create(&kind, body()),
            ("PUT", Some(name)) => self.replace(&kind, &name, body()),
            ("DELETE", Some(name)) => match self.remove(&kind, &name) {
                0 => (404, "{}".to_owned()),
                _ => (200, "{}".to_owned()),
            },
            _ => (400, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: Option<String>) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let after = after.unwrap_or_default();
        let items = of_kind
            .filter(|((_, name), _)| after.is_empty() || *name > after)
            .map(|(_, object)| object.json());
        let items = Json::List(items.collect());
        let body = format!(
            "{{\"items\":{items},\"has_more\":false,\"current_rev\":{}}}",
            state.rev
        );
        (200, body)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            if since < state.forgotten {
                return (410, "{}".to_owned());
            }
            let new = state.events.iter();
            let new = new.filter(|e| e.kind == kind && e.object.rev > since);
            let events: Vec<Json> = new
                .map(|e| {
                    Json::Table(vec![
                        ("deleted".to_owned(), Json::Bool(e.deleted)),
                        ("object".to_owned(), e.object.json()),
                    ])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = Json::List(events);
                let rev = state.rev;
                return (
                    200,
                    format!("{{\"events\":{events},\"current_rev\":{rev}}}"),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn create(&self, kind: &str, body: Option<Json>) -> (u16, String) {
        let Some(body) = body else {
            return (400, "{}".to_owned());
        };
        let name = body.get("meta").and_then(|m| m.get("name")?.text());
        let (Some(name), Some(spec)) = (name, body.get("spec")) else {
            return (400, "{}".to_owned());
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if let Some(known) = state.objects.get(&(kind.to_owned(), name.to_owned())) {
            return (409, known.json().to_string());
        }
        let object = state.put(kind, name, spec.clone());
        changed.notify_all();
        (200, object.json().to_string())
    }

    fn replace(&self, kind: &str, name: &str, body: Option<Json>) -> (u16, String) {
        let Some(spec) = body.as_ref().and_then(|b| b.get("spec")) else {
            return (400, "{}".to_owned());
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if !state
            .objects
            .contains_key(&(kind.to_owned(), name.to_owned()))
        {
            return (404, "{}".to_owned());
        }
        let object = state.put(kind, name, spec.clone());
        changed.notify_all();
        (200, object.json().to_string())
    }
}
