//! The list of backends: discovery's messages, and the actor that keeps a watch on it.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use damsonbeam::interface::{BackendEntry, BackendId, Discovery, Health, ListForm};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::log::log;
use crate::messages::*;

/// How long a watch may wait, and what is given it beyond before it is held for lost. A watch that fell
/// silent looks like one with nothing to tell: for so long work goes to backends that are gone. A call for
/// the whole list is given as long: where a whole fleet asks at once each waits its turn, and those that
/// give up sooner are served for nothing and come again, so that nobody ever has a list.
const WATCH_HOLD: Duration = Duration::from_secs(2);
const WATCH_GRACE: Duration = Duration::from_millis(500);
/// After a failed call: within the 200 ms in which a watch continues.
const RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_BODY_BYTES: usize = 4 << 20;

#[derive(Deserialize, Serialize, Default, Clone)]
pub struct DiscoveryPage {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<Member>,
}

#[derive(Deserialize, Serialize, Clone)]
pub struct Member {
    pub id: String,
    pub host_port: SocketAddr,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    #[serde(default)]
    pub cell: u32,
    pub phase: String,
    #[serde(default = "one")]
    pub size: f64,
    #[serde(default)]
    pub up_since_ms: u64,
}

fn one() -> f64 {
    1.0
}

impl DiscoveryPage {
    /// The whole list after a page of news.
    pub fn apply(&mut self, update: &DiscoveryPage) {
        self.revision = update.revision;
        if update.complete {
            self.members.clear();
        }
        self.members
            .retain(|m| update.members.iter().all(|n| n.id != m.id));
        self.members
            .extend(update.members.iter().filter(|m| m.phase != "left").cloned());
    }
}

/// Numbers for the names that discovery uses.
pub struct NameTable {
    zones: Vec<String>,
    kinds: Vec<String>,
    ids: HashMap<String, BackendId>,
}

impl NameTable {
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        NameTable {
            zones,
            kinds,
            ids: HashMap::new(),
        }
    }

    /// How many names it knows.
    pub fn known(&self) -> usize {
        self.ids.len()
    }

    /// The same at every gateway: made from the id alone, but for the rare two that fall together.
    fn backend_id(&mut self, id: &str) -> BackendId {
        if let Some(known) = self.ids.get(id) {
            return *known;
        }
        let step = |h: u32, b: u8| (h ^ u32::from(b)).wrapping_mul(0x0100_0193); // FNV-1a
        let mut backend_id = BackendId(id.bytes().fold(0x811c_9dc5, step));
        while self.ids.values().any(|taken| *taken == backend_id) {
            backend_id.0 = backend_id.0.wrapping_add(1);
        }
        self.ids.insert(id.to_owned(), backend_id);
        backend_id
    }

    pub fn to_update(&mut self, page: DiscoveryPage, form: ListForm) -> BackendListUpdate {
        let place = |names: &[String], name: &str| {
            // A name that the settings lack is a place of its own, not the first one's.
            names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
        };
        let addresses = page.members.iter().map(|m| m.host_port).collect();
        let entry = |m: Member| BackendEntry {
            backend_id: self.backend_id(&m.id),
            health: match m.phase.as_str() {
                "active" => Health::Up,
                "left" => Health::Gone,
                // An unlisted phase is no promise that it takes work.
                _ => Health::Draining,
            },
            since: Duration::from_millis(m.up_since_ms),
            kind: place(&self.kinds, &m.flavor),
            zone: place(&self.zones, &m.locality),
            cell: m.cell,
            weight: m.size,
        };
        let stay = |m: &Member| m.phase != "left";
        let (stay, left): (Vec<_>, Vec<_>) = page
            .members
            .iter()
            .map(|m| (m.id.clone(), stay(m)))
            .partition(|m| m.1);
        let entries = page.members.into_iter().map(entry).collect();
        // Backends are replaced for ever: names that are gone must not stay, or they fill the memory.
        if form == ListForm::Update {
            left.iter().for_each(|(id, _)| {
                self.ids.remove(id);
            });
        } else {
            let stay: HashSet<_> = stay.into_iter().map(|(id, _)| id).collect();
            self.ids.retain(|id, _| stay.contains(id));
        }
        BackendListUpdate {
            form,
            entries,
            addresses,
            names: vec![],
        }
    }
}

pub struct BackendListWatcher {
    pub at: SocketAddr,
    pub names: NameTable,
    pub mode: Discovery,
    /// The revision that this life began with.
    pub known: u64,
    /// The whole list as it stands, for a process that follows this one.
    pub last_list: Rc<RefCell<DiscoveryPage>>,
    pub dispatcher: mpsc::Sender<ToDispatcher>,
    pub mailbox: mpsc::Receiver<ToListWatcher>,
    /// Told once the module has a list of this life.
    pub first: Option<oneshot::Sender<()>>,
}

impl BackendListWatcher {
    pub async fn run(mut self) {
        let mut watching = self.mode == Discovery::Pushed;
        let mut connection: Option<SendRequest<Empty<Bytes>>> = None;
        // A subscription is one call, and brings what was missed: a whole list before it would be two, at a
        // service that all gateways call when they start.
        let mut from = (self.mode == Discovery::Subscribed).then_some(self.known);
        loop {
            if !watching {
                match self.mailbox.recv().await {
                    None => return,
                    Some(ToListWatcher::Watch { on }) => watching = on,
                    Some(ToListWatcher::Fetch) => {}
                    Some(ToListWatcher::Move(at)) => {
                        (self.at, connection, from) = (at, None, None);
                        continue;
                    }
                }
            }
            let path = match from {
                None => "/discovery/hosts".to_owned(),
                Some(v) => {
                    let hold = WATCH_HOLD.as_millis();
                    format!("/discovery/hosts?from={v}&hold_ms={hold}")
                }
            };
            let mut moved = None;
            let mut call = Box::pin(timeout(
                WATCH_HOLD + WATCH_GRACE,
                get(&mut connection, self.at, &path),
            ));
            let answer = loop {
                tokio::select! {
                    answer = &mut call => break Some(answer),
                    message = self.mailbox.recv() => match message {
                        None => return,
                        Some(ToListWatcher::Watch { on: false }) if self.mode == Discovery::Subscribed => break None,
                        Some(ToListWatcher::Move(at)) => {
                            moved = Some(at);
                            break None;
                        }
                        Some(_) => {}
                    }
                }
            };
            drop(call);
            if let Some(at) = moved {
                // The watch begins anew with the whole list: nothing told in between may be missed.
                (self.at, connection, from) = (at, None, None);
                continue;
            }
            match answer {
                Some(Ok(Ok(page))) => {
                    from = Some(page.revision);
                    // Only what says that it is complete is: backends absent from it are gone.
                    let form = if page.complete {
                        ListForm::Replace
                    } else {
                        ListForm::Update
                    };
                    if page.complete || !page.members.is_empty() {
                        self.last_list.borrow_mut().apply(&page);
                        let update = self.names.to_update(page, form);
                        if self
                            .dispatcher
                            .send(ToDispatcher::BackendList(update))
                            .await
                            .is_err()
                        {
                            return;
                        }
                    }
                    self.first.take().map(|first| first.send(()));
                }
                None => watching = false,
                Some(failed) => {
                    let reason =
                        failed.map_or("no answer".to_owned(), |r| r.err().unwrap_or_default());
                    log!(
                        warn,
                        "list-unavailable",
                        "{}: {reason}; the last list stays",
                        self.at
                    );
                    if self.mode == Discovery::Subscribed {
                        watching = false;
                        let none = BackendListUpdate {
                            form: ListForm::Unavailable,
                            entries: [].into(),
                            addresses: vec![],
                            names: vec![],
                        };
                        if self
                            .dispatcher
                            .send(ToDispatcher::BackendList(none))
                            .await
                            .is_err()
                        {
                            return;
                        }
                    } else {
                        sleep(RETRY_DELAY).await;
                    }
                }
            }
        }
    }
}

async fn get(
    connection: &mut Option<SendRequest<Empty<Bytes>>>,
    at: SocketAddr,
    path: &str,
) -> Result<DiscoveryPage, String> {
    let mut send = match connection.take().filter(|l| !l.is_closed()) {
        Some(send) => send,
        None => {
            let stream = TcpStream::connect(at).await.map_err(|e| e.to_string())?;
            stream.set_nodelay(true).map_err(|e| e.to_string())?;
            let (send, conn) = handshake(TokioIo::new(stream))
                .await
                .map_err(|e| e.to_string())?;
            tokio::task::spawn_local(async move { conn.await.ok() });
            send
        }
    };
    send.ready().await.map_err(|e| e.to_string())?;
    let request = Request::get(path)
        .header(HOST, at.to_string())
        .body(Empty::new());
    let answer = send
        .send_request(request.map_err(|e| e.to_string())?)
        .await
        .map_err(|e| e.to_string())?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|e| e.to_string())?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    *connection = Some(send);
    serde_json::from_slice(&body.to_bytes()).map_err(|e| e.to_string())
}
