//! Stand-in of the platform's store: objects by kind and name, conditional writes, lists and watches.

use crate::http;
use crate::http::Message;
use crate::json;
use std::collections::BTreeMap;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

const PATH: &str = "/-/objects/";

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    spec: Vec<u8>,
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
    /// Connections on which a watch waits, by number, with the address of the store that each was opened to.
    waiting: BTreeMap<u64, (SocketAddr, TcpStream)>,
    watches: u64,
}

/// Handle to the store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Returns an empty store.
    pub fn new() -> Self {
        let state = State { revision: 100, ..State::default() };
        Self { state: Arc::new((Mutex::new(state), Condvar::new())) }
    }

    /// Serves the store at an address.
    pub fn serve(&self, listener: TcpListener) {
        let shared = self.clone();
        http::serve(listener, || false, move |request, stream| shared.handle(&request, stream));
    }

    /// Cuts off the watches that wait on connections to one address of the store; returns their number.
    pub fn cut_watches(&self, at: SocketAddr) -> usize {
        let state = self.state.0.lock().expect("the store");
        let cut = state.waiting.values().filter(|(to, _)| *to == at);
        cut.filter(|(_, stream)| stream.shutdown(Shutdown::Both).is_ok()).count()
    }

    /// Returns the content of an object.
    pub fn content(&self, kind: &str, name: &str) -> Option<Vec<u8>> {
        let state = self.state.0.lock().expect("the store");
        state.objects.get(&(kind.to_string(), name.to_string())).map(|object| object.spec.clone())
    }

    /// Creates or replaces an object, as the operator, a replica or another writer does. The content is kept as it
    /// is written.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) {
        let mut state = self.state.0.lock().expect("the store");
        state.put(kind, name, spec.to_vec());
        self.state.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().expect("the store");
        state.remove(kind, name);
        self.state.1.notify_all();
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
        };
        let number = |name: &str| parameter(name).and_then(|value| value.parse::<u64>().ok());
        let target = path.strip_prefix(PATH).unwrap_or_default();
        let (kind, name) = target.split_once('/').unwrap_or((target, ""));
        let (status, body) = match request.word(0) {
            "GET" if name.is_empty() => match number("watch") {
                Some(after) => {
                    let waiting = self.add_waiting(stream)?;
                    let answer = self.watch(kind, after, number("waitMs").unwrap_or(0));
                    self.state.0.lock().expect("the store").waiting.remove(&waiting);
                    answer
                }
                None => self.state.0.lock().expect("the store").list(kind),
            },
            "GET" => self.state.0.lock().expect("the store").get(kind, name),
            _ => {
                let mut state = self.state.0.lock().expect("the store");
                let answer = state.write(request, kind, name, number("revision"));
                self.state.1.notify_all();
                answer
            }
        };
        http::answer(stream, status, &[("Content-Type", "application/json")], &body)
    }

    fn add_waiting(&self, stream: &TcpStream) -> io::Result<u64> {
        let mut state = self.state.0.lock().expect("the store");
        state.watches += 1;
        let number = state.watches;
        state.waiting.insert(number, (stream.local_addr()?, stream.try_clone()?));
        Ok(number)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (&'static str, Vec<u8>) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().expect("the store");
        loop {
            let events = state.events(kind, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = format!("],\"at\":{}}}", state.revision);
                return (
                    "200 OK",
                    [&b"{\"events\":["[..], &events.join(&b','), at.as_bytes()].concat(),
                );
            }
            state = self.state.1.wait_timeout(state, left).expect("the store").0;
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Vec<u8>) -> Object {
        let key = (kind.to_string(), name.to_string());
        if let Some(known) = self.objects.get(&key).filter(|known| known.spec == spec) {
            return known.clone();
        }
        self.revision += 1;
        let object = Object { revision: self.revision, spec };
        self.objects.insert(key, object.clone());
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

    fn get(&self, kind: &str, name: &str) -> (&'static str, Vec<u8>) {
        match self.objects.get(&(kind.to_string(), name.to_string())) {
            Some(object) => ("200 OK", encode(name, object)),
            None => ("404 Not Found", b"{}".to_vec()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, Vec<u8>) {
        let of_kind = self.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<Vec<u8>> = of_kind.map(|((_, name), o)| encode(name, o)).collect();
        let end = format!("],\"hasMore\":false,\"at\":{}}}", self.revision);
        ("200 OK", [&b"{\"items\":["[..], &items.join(&b','), end.as_bytes()].concat())
    }

    fn events(&self, kind: &str, after: u64) -> Vec<Vec<u8>> {
        let later = self.changes.iter().filter(|c| c.revision > after && c.kind == kind);
        let encode = |change: &Change| {
            let start = format!("{{\"removed\":{},\"object\":", change.is_removed);
            [start.as_bytes(), &encode(&change.name, &change.object), b"}"].concat()
        };
        later.map(encode).collect()
    }

    fn write(
        &mut self,
        request: &Message,
        kind: &str,
        name: &str,
        revision: Option<u64>,
    ) -> (&'static str, Vec<u8>) {
        let metadata = json::field(&request.body, "metadata").unwrap_or_default();
        let condition = json::text(metadata, "revision").and_then(|text| text.parse().ok());
        let condition = revision.or(condition);
        let named = json::text(metadata, "name").unwrap_or_default();
        let name = if name.is_empty() { named.as_str() } else { name };
        let known = self.objects.get(&(kind.to_string(), name.to_string())).cloned();
        let is_conflict = match (request.word(0), &known) {
            ("POST", known) => known.is_some(),
            (_, Some(known)) => condition.is_some_and(|condition| condition != known.revision),
            (_, None) => return ("404 Not Found", b"{}".to_vec()),
        };
        match (request.word(0), known) {
            (_, Some(known)) if is_conflict => ("409 Conflict", encode(name, &known)),
            ("DELETE", _) => {
                self.remove(kind, name);
                ("200 OK", b"{}".to_vec())
            }
            _ => {
                let spec = json::field(&request.body, "spec").unwrap_or(b"null").to_vec();
                let object = self.put(kind, name, spec);
                ("200 OK", encode(name, &object))
            }
        }
    }
}

fn encode(name: &str, object: &Object) -> Vec<u8> {
    let (name, revision) = (json::quote(name), object.revision);
    let start = format!(
        "{{\"metadata\":{{\"name\":{name},\"revision\":{revision},\"createdAt\":0,\"finalizers\":[],\"deleting\":false}},\"spec\":"
    );
    [start.as_bytes(), &object.spec, b",\"status\":null}"].concat()
}
