//! Stand-in backends that follow the wire protocol of the system and, in spells of trouble, its permitted faults.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use damsonbeam_lab::http::{HttpMessage, response_text};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::connection::{Connection, reset_on_close};
use crate::history::{History, WorkStart, answer_body};
use crate::link::Link;

/// Requests that wait at a backend beyond those that it works on.
const QUEUE_LENGTH: usize = 2;
/// The wait of a sender that states none.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The longest delay of an early answer to a long upload, and of reading the upload after it.
const MAX_EARLY_DELAY_MS: u64 = 30;
/// The longest time between the head and the body of an answer without a length.
const MAX_BODY_DELAY_MS: u64 = 60;
/// The longest time between the beginning of the work on a request and a reset while the rest of it arrives.
const MAX_BEGUN_MS: u64 = 100;
/// The longest delay of a second copy of an answer.
const MAX_COPY_DELAY_MS: u64 = 100;

/// A way in which a backend in trouble treats a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The request runs, and the answer is a status of the backend's own that is reserved for requests that did not.
    OwnPromise,
    /// The request runs, and the connection is closed, reset or silent.
    Lost,
    /// The connection is reset before the request runs.
    Reset,
    /// The request runs, and the connection is reset: while the body arrives, where the backend has begun at the head.
    BegunReset,
    /// The request runs, and the answer breaks off.
    Cut,
    /// The request runs, and the answer is no HTTP.
    Garbage,
    /// The request runs, and the answer has no length and ends with its connection.
    Unframed,
    /// The request runs and fails.
    Failed,
    /// The answer is sent a second time, some time later.
    SecondCopy,
    /// A long upload is turned away before it is in, and read on.
    Early,
}

impl FaultKind {
    pub const ALL: [(&str, FaultKind); 10] = [
        ("own-promise", FaultKind::OwnPromise),
        ("lost", FaultKind::Lost),
        ("reset", FaultKind::Reset),
        ("begun-reset", FaultKind::BegunReset),
        ("cut", FaultKind::Cut),
        ("garbage", FaultKind::Garbage),
        ("unframed", FaultKind::Unframed),
        ("failed", FaultKind::Failed),
        ("second-copy", FaultKind::SecondCopy),
        ("early", FaultKind::Early),
    ];
}

/// The faults of a backend in trouble, with the share of its requests that each concerns.
#[derive(Clone, Debug, Default)]
pub struct Faults(Vec<(FaultKind, f64)>);

impl Faults {
    pub fn new(shares: Vec<(FaultKind, f64)>) -> Self {
        Faults(shares)
    }

    fn share(&self, kind: FaultKind) -> f64 {
        let of_kind = self.0.iter().filter(|(other, _)| *other == kind);
        of_kind.map(|(_, share)| share).sum()
    }

    /// Draws what happens to a request that the backend has read.
    fn draw(&self, rng: &mut ChaCha8Rng) -> Option<FaultKind> {
        let mut point = rng.random::<f64>();
        let drawn = self.0.iter().find(|(_, share)| {
            point -= share;
            point < 0.0
        });
        drawn.map(|(kind, _)| *kind)
    }
}

/// The identity of a backend, which changes with each start.
#[derive(Clone)]
pub struct Incarnation {
    pub id: String,
    pub is_up: bool,
}

/// A stand-in backend.
pub struct StandIn {
    pub service: &'static str,
    pub zone: &'static str,
    /// The address at which the platform lists the backend: its link's, if it has one.
    pub address: SocketAddr,
    link: Option<Arc<Link>>,
    name: String,
    slots: usize,
    work: Duration,
    pub resets_when_full: bool,
    begins_at_head: bool,
    incarnation: Mutex<Incarnation>,
    starts: AtomicUsize,
    faults: Mutex<Faults>,
    rng: Mutex<ChaCha8Rng>,
    /// Requests that are worked on or wait.
    taken: AtomicUsize,
    /// Requests that are worked on.
    working: Mutex<usize>,
    slot_freed: Condvar,
    /// The open connections by their numbers.
    connections: Mutex<HashMap<usize, Connection>>,
    history: Arc<History>,
}

/// The properties of a stand-in backend.
pub struct StandInPlan {
    pub name: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    pub work: Duration,
    pub resets_when_full: bool,
    /// Whether the backend begins to work on an upload as soon as it has read the head.
    pub begins_at_head: bool,
    /// Whether a link that can delay what passes is before the backend.
    pub has_link: bool,
    pub seed: u64,
}

impl StandIn {
    pub fn start(plan: StandInPlan, history: &Arc<History>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let own_address = listener.local_addr().expect("bound");
        let link = plan.has_link.then(|| Link::start(own_address));
        let backend = Arc::new(StandIn {
            service: plan.service,
            zone: plan.zone,
            address: link.as_ref().map_or(own_address, |link| link.address),
            link,
            slots: plan.slots,
            work: plan.work,
            resets_when_full: plan.resets_when_full,
            begins_at_head: plan.begins_at_head,
            incarnation: Mutex::new(Incarnation {
                id: format!("{}-0", plan.name),
                is_up: true,
            }),
            name: plan.name,
            starts: AtomicUsize::new(1),
            faults: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(plan.seed)),
            taken: AtomicUsize::new(0),
            working: Mutex::new(0),
            slot_freed: Condvar::new(),
            connections: Mutex::default(),
            history: history.clone(),
        });
        let accepting = backend.clone();
        thread::spawn(move || {
            for (number, socket) in listener.incoming().map_while(Result::ok).enumerate() {
                if !accepting.incarnation().is_up {
                    reset_on_close(&socket);
                    continue;
                }
                let connection = Connection::new(socket.try_clone().expect("cloned"));
                accepting
                    .open_connections()
                    .insert(number, connection.clone());
                let backend = accepting.clone();
                thread::spawn(move || {
                    backend.serve(socket, &connection);
                    backend.open_connections().remove(&number);
                });
            }
        });
        backend
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.lock().expect("not poisoned").clone()
    }

    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().expect("not poisoned") = faults;
    }

    /// Ends the backend as a lost machine does: its connections and new ones are reset.
    pub fn crash(&self) {
        self.incarnation.lock().expect("not poisoned").is_up = false;
        for (_, connection) in self.open_connections().drain() {
            connection.reset();
        }
    }

    /// Delays what passes between the proxies and this backend, if it has a link.
    pub fn set_link_delay(&self, delay: Duration) {
        if let Some(link) = &self.link {
            link.set_delay(delay);
        }
    }

    fn open_connections(&self) -> MutexGuard<'_, HashMap<usize, Connection>> {
        self.connections.lock().expect("not poisoned")
    }

    /// Starts the backend again at its address, with another id.
    pub fn restart(&self) {
        let number = self.starts.fetch_add(1, Ordering::SeqCst);
        let mut incarnation = self.incarnation.lock().expect("not poisoned");
        incarnation.id = format!("{}-{number}", self.name);
        incarnation.is_up = true;
    }

    fn chance(&self, share: f64) -> bool {
        self.rng.lock().expect("not poisoned").random::<f64>() < share
    }

    fn below(&self, limit: u64) -> u64 {
        self.rng
            .lock()
            .expect("not poisoned")
            .random_range(0..limit.max(1))
    }

    fn serve(&self, socket: TcpStream, connection: &Connection) {
        let mut reader = BufReader::new(socket);
        while let Some(head) = HttpMessage::read_head(&mut reader) {
            if self.handle(head, &mut reader, connection).is_none() {
                break;
            }
        }
        connection.end();
    }

    /// Handles one request; returns `None` where the connection ends with it.
    fn handle(
        &self,
        mut request: HttpMessage,
        reader: &mut BufReader<TcpStream>,
        connection: &Connection,
    ) -> Option<()> {
        let faults = self.faults.lock().expect("not poisoned").clone();
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let is_long = request.start_line.contains("/upload/");
        if is_long && self.chance(faults.share(FaultKind::Early)) {
            return self.answer_early(&id, request, reader, connection);
        }
        let start = if is_long && self.begins_at_head {
            WorkStart::Head
        } else {
            request.read_body(reader)?;
            WorkStart::CompleteRequest
        };
        let incarnation = self.incarnation();
        let fault = faults.draw(&mut self.rng.lock().expect("not poisoned"));
        let until = deadline(&request);
        let refused_status = match self.admit(&request, &incarnation, fault, until) {
            Admission::Admitted => None,
            Admission::Refused(status) => Some(status),
            Admission::Reset => {
                reset_on_close(reader.get_ref());
                return None;
            }
        };
        if let Some(status) = refused_status {
            self.send(connection, &refusal(status, &id), &faults)?;
            return match start {
                WorkStart::Head => self.read_on(&id, request, reader),
                WorkStart::CompleteRequest => Some(()),
            };
        }
        self.history.record_run(&id, &incarnation.id, start);
        let work = self.work_on(&id, &incarnation, start, request, reader, fault);
        self.free_slot();
        self.taken.fetch_sub(1, Ordering::SeqCst);
        work?;
        if Instant::now() >= until {
            return self.send(connection, &failure("504 Late", &id), &faults);
        }
        self.answer(fault, &id, reader, connection, &faults)
    }

    /// Takes a slot for a request, or says why it does not run.
    fn admit(
        &self,
        request: &HttpMessage,
        incarnation: &Incarnation,
        fault: Option<FaultKind>,
        until: Instant,
    ) -> Admission {
        if request.header("x-target-instance") != Some(&*incarnation.id) {
            return Admission::Refused("421 Misdirected Request");
        }
        if fault == Some(FaultKind::Reset) {
            return Admission::Reset;
        }
        if !self.take_place() {
            return if self.resets_when_full {
                Admission::Reset
            } else {
                Admission::Refused("503 Full")
            };
        }
        if !self.wait_for_slot(until) {
            self.taken.fetch_sub(1, Ordering::SeqCst);
            return Admission::Refused("503 Late");
        }
        Admission::Admitted
    }

    /// Works on a request, and reads what is left of it before; returns `None` where the connection ends meanwhile.
    fn work_on(
        &self,
        id: &str,
        incarnation: &Incarnation,
        start: WorkStart,
        mut request: HttpMessage,
        reader: &mut BufReader<TcpStream>,
        fault: Option<FaultKind>,
    ) -> Option<()> {
        if start == WorkStart::Head {
            if fault == Some(FaultKind::BegunReset) {
                thread::sleep(Duration::from_millis(self.below(MAX_BEGUN_MS)));
                reset_on_close(reader.get_ref());
                return None;
            }
            request.read_body(reader)?;
        }
        self.history.record_body(id, &incarnation.id, &request.body);
        thread::sleep(self.work);
        Some(())
    }

    /// Turns a long upload away before it is in, then reads it to its end.
    fn answer_early(
        &self,
        id: &str,
        request: HttpMessage,
        reader: &mut BufReader<TcpStream>,
        connection: &Connection,
    ) -> Option<()> {
        thread::sleep(Duration::from_millis(self.below(MAX_EARLY_DELAY_MS)));
        connection.send(&refusal("503 Too Much", id))?;
        thread::sleep(Duration::from_millis(self.below(MAX_EARLY_DELAY_MS)));
        self.read_on(id, request, reader)
    }

    /// Reads the body of a request that was refused before it was in.
    fn read_on(
        &self,
        id: &str,
        mut request: HttpMessage,
        reader: &mut BufReader<TcpStream>,
    ) -> Option<()> {
        request.read_body(reader)?;
        self.history.record_late_body(id, &self.name, &request.body);
        Some(())
    }

    fn answer(
        &self,
        fault: Option<FaultKind>,
        id: &str,
        reader: &BufReader<TcpStream>,
        connection: &Connection,
        faults: &Faults,
    ) -> Option<()> {
        let body = answer_body(id);
        let whole = response_text(
            &format!("200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: {id}"),
            &body,
        );
        match fault {
            None | Some(FaultKind::SecondCopy | FaultKind::Early) => {
                self.send(connection, &whole, faults)
            }
            Some(FaultKind::Failed) => self.send(connection, &failure("500 Failed", id), faults),
            Some(FaultKind::OwnPromise) => {
                let statuses = ["503 Busy", "429 Slow Down", "408 Timeout"];
                let status = statuses[self.below(3) as usize];
                self.send(connection, &failure(status, id), faults)
            }
            Some(FaultKind::Cut) => {
                let end = self.below(whole.len() as u64) as usize;
                connection.end_with(&whole[..end])?;
                None
            }
            Some(FaultKind::Garbage) => {
                connection.end_with("\x00\x17no answer\r\n\r\n")?;
                None
            }
            Some(FaultKind::Unframed) => {
                let head =
                    format!("HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: {id}\r\n\r\n");
                connection.begin(&head)?;
                thread::sleep(Duration::from_millis(self.below(MAX_BODY_DELAY_MS)));
                connection.end_with(&body)?;
                None
            }
            Some(FaultKind::BegunReset) => {
                reset_on_close(reader.get_ref());
                None
            }
            Some(FaultKind::Lost | FaultKind::Reset) => {
                match self.below(3) {
                    0 => reset_on_close(reader.get_ref()),
                    1 => thread::sleep(Duration::from_secs(3)),
                    _ => {}
                }
                None
            }
        }
    }

    /// Sends an answer and, in trouble, sends it again some time later.
    fn send(&self, connection: &Connection, text: &str, faults: &Faults) -> Option<()> {
        connection.send(text)?;
        if self.chance(faults.share(FaultKind::SecondCopy)) {
            let delay = Duration::from_millis(self.below(MAX_COPY_DELAY_MS));
            let (connection, text) = (connection.clone(), text.to_owned());
            thread::spawn(move || {
                thread::sleep(delay);
                connection.send_copy(&text);
            });
        }
        Some(())
    }

    fn take_place(&self) -> bool {
        let limit = self.slots + QUEUE_LENGTH;
        let take = |taken| (taken < limit).then_some(taken + 1);
        let order = Ordering::SeqCst;
        self.taken.fetch_update(order, order, take).is_ok()
    }

    /// Waits for a free slot and takes it; returns `false` if there is none until the deadline.
    fn wait_for_slot(&self, until: Instant) -> bool {
        let mut working = self.working.lock().expect("not poisoned");
        while *working >= self.slots {
            let wait = until.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                return false;
            }
            let waited = self.slot_freed.wait_timeout(working, wait);
            working = waited.expect("not poisoned").0;
        }
        *working += 1;
        true
    }

    fn free_slot(&self) {
        *self.working.lock().expect("not poisoned") -= 1;
        self.slot_freed.notify_one();
    }
}

/// Whether a backend works on a request.
enum Admission {
    Admitted,
    /// The request is answered with a status that states that it was not executed.
    Refused(&'static str),
    /// The connection is reset before the request runs.
    Reset,
}

/// Returns until when the sender of a request waits for the answer.
fn deadline(request: &HttpMessage) -> Instant {
    let stated_ms = request
        .header("x-deadline-ms")
        .and_then(|value| value.parse().ok());
    Instant::now() + stated_ms.map_or(MAX_WAIT, Duration::from_millis)
}

/// Returns an answer that states that the request was not executed.
fn refusal(status: &str, id: &str) -> String {
    response_text(
        &format!("{status}\r\nX-Not-Executed: 1\r\nX-Request-Id: {id}"),
        "",
    )
}

/// Returns a failure after which the request may have run.
fn failure(status: &str, id: &str) -> String {
    response_text(
        &format!("{status}\r\nX-Response-Seal: s\r\nX-Request-Id: {id}"),
        "",
    )
}
