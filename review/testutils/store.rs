//! Stand-in of the platform's store: objects by kind and name, conditional writes, lists and watches.

use crate::http;
use crate::http::Message;
use crate::json::Json;
use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const PATH: &str = "/-/objects/";

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    spec: Json,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    object: Object,
    is_removed: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
    is_silent: bool,
    /// Number of times that the store fell silent.
    silences: u64,
}

/// Handle to the store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves an empty store.
    pub fn start(listener: TcpListener) -> Self {
        let state = State { revision: 100, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())) };
        let shared = store.clone();
        thread::spawn(move || {
            http::serve(listener, move |request, stream| shared.handle(&request, stream));
        });
        store
    }

    /// Writes an object. The write is acknowledged when this returns.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.lock().write(kind, name, spec);
        self.state.1.notify_all();
    }

    /// Removes an object, if it exists.
    pub fn remove(&self, kind: &str, name: &str) {
        self.lock().remove(kind, name);
        self.state.1.notify_all();
    }

    /// Changes a field of an object. The write is acknowledged when this returns.
    pub fn set_field(&self, kind: &str, name: &str, field: &str, value: Json) {
        let mut state = self.lock();
        let Some(mut spec) = state.get(kind, name).map(|object| object.spec.clone()) else {
            return;
        };
        spec.set(field, value);
        state.write(kind, name, spec);
        self.state.1.notify_all();
    }

    /// Answers no call while the store is silent. Calls that wait when it falls silent are lost: their connections
    /// return nothing further.
    pub fn set_silent(&self, is_silent: bool) {
        let mut state = self.lock();
        state.is_silent = is_silent;
        state.silences += u64::from(is_silent);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("the state of the store")
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let silences = {
            let state = self.lock();
            if state.is_silent {
                drop(state);
                forever();
            }
            state.silences
        };
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let mut parts = path.trim_start_matches(PATH).splitn(2, '/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next().map(decode_name);
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|part| part.split_once('=')).collect();
        let body = String::from_utf8(request.body.clone()).ok();
        let body = body.and_then(|body| Json::parse(&body)).unwrap_or(Json::Null);
        let (status, answer) = match (request.method.as_str(), name) {
            ("GET", Some(name)) => match self.lock().get(kind, &name) {
                Some(object) => (200, encode(&name, object).to_string()),
                None => (404, String::new()),
            },
            ("GET", None) => match query.get("watch").and_then(|after| after.parse().ok()) {
                Some(after) => {
                    let wait = query.get("waitMs").and_then(|wait| wait.parse().ok());
                    self.watch(kind, after, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.lock().list(kind),
            },
            ("POST", None) => self.create(kind, &body),
            ("PUT", Some(name)) => self.replace(kind, &name, &body),
            ("DELETE", Some(name)) => {
                let revision = query.get("revision").and_then(|revision| revision.parse().ok());
                self.delete(kind, &name, revision)
            }
            _ => (400, String::new()),
        };
        if self.lock().silences != silences {
            forever();
        }
        http::respond(stream, status, &[("Content-Type", "application/json")], &answer)
    }

    fn create(&self, kind: &str, body: &Json) -> (u16, String) {
        let Some(name) = body.get("metadata").get("name").text() else {
            return (400, String::new());
        };
        let mut state = self.lock();
        if let Some(object) = state.get(kind, name) {
            return (409, encode(name, object).to_string());
        }
        let object = state.write(kind, name, body.get("spec").clone());
        self.state.1.notify_all();
        (201, encode(name, &object).to_string())
    }

    fn replace(&self, kind: &str, name: &str, body: &Json) -> (u16, String) {
        let expected = body.get("metadata").get("revision").integer();
        let mut state = self.lock();
        let Some(object) = state.get(kind, name) else { return (404, String::new()) };
        if expected.is_some_and(|expected| expected != object.revision) {
            return (409, encode(name, object).to_string());
        }
        let object = state.write(kind, name, body.get("spec").clone());
        self.state.1.notify_all();
        (200, encode(name, &object).to_string())
    }

    fn delete(&self, kind: &str, name: &str, expected: Option<u64>) -> (u16, String) {
        let mut state = self.lock();
        let Some(object) = state.get(kind, name).cloned() else { return (404, String::new()) };
        if expected.is_some_and(|expected| expected != object.revision) {
            return (409, encode(name, &object).to_string());
        }
        state.remove(kind, name);
        self.state.1.notify_all();
        (200, encode(name, &object).to_string())
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let events = state.events(kind, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = Json::List(events);
                return (200, format!("{{\"events\":{events},\"at\":{}}}", state.revision));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.expect("the state of the store").0;
        }
    }
}

impl State {
    fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_string(), name.to_string()))
    }

    fn write(&mut self, kind: &str, name: &str, spec: Json) -> Object {
        if let Some(object) = self.get(kind, name).filter(|object| object.spec == spec) {
            return object.clone();
        }
        self.revision += 1;
        let object = Object { revision: self.revision, spec };
        self.objects.insert((kind.to_string(), name.to_string()), object.clone());
        self.record(kind, name, object.clone(), false);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_string(), name.to_string())) {
            self.revision += 1;
            self.record(kind, name, object, true);
        }
    }

    fn record(&mut self, kind: &str, name: &str, object: Object, is_removed: bool) {
        let (revision, kind, name) = (self.revision, kind.to_string(), name.to_string());
        self.changes.push(Change { revision, kind, name, object, is_removed });
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let of_kind = self.objects.iter().filter(|((known, _), _)| known == kind);
        let items = Json::List(of_kind.map(|((_, name), object)| encode(name, object)).collect());
        (200, format!("{{\"items\":{items},\"hasMore\":false,\"at\":{}}}", self.revision))
    }

    fn events(&self, kind: &str, after: u64) -> Vec<Json> {
        let is_new = |change: &&Change| change.kind == kind && change.revision > after;
        let event = |change: &Change| {
            Json::Object(vec![
                ("object".to_string(), encode(&change.name, &change.object)),
                ("removed".to_string(), Json::Bool(change.is_removed)),
            ])
        };
        self.changes.iter().filter(is_new).map(event).collect()
    }
}

fn encode(name: &str, object: &Object) -> Json {
    let metadata = Json::Object(vec![
        ("name".to_string(), Json::Text(name.to_string())),
        ("revision".to_string(), Json::Number(object.revision.to_string())),
        ("createdAt".to_string(), Json::Number("0".to_string())),
        ("finalizers".to_string(), Json::List(vec![])),
        ("deleting".to_string(), Json::Bool(false)),
    ]);
    Json::Object(vec![
        ("metadata".to_string(), metadata),
        ("spec".to_string(), object.spec.clone()),
        ("status".to_string(), Json::Null),
    ])
}

fn forever() -> ! {
    loop {
        thread::park();
    }
}

fn decode_name(text: &str) -> String {
    let mut bytes = vec![];
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let escaped = after.get(..2).filter(|_| *first == b'%');
        let escaped = escaped.and_then(|digits| std::str::from_utf8(digits).ok());
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
