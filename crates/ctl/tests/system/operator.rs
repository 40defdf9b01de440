//! Operators' calls as tests send them: one try each, with its outcome told apart.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use damsonbeam_lab::plain::Message;

use crate::cluster::{Cluster, call};
use crate::{TENANT, first, route};

/// After this a machine that came, and one that went for good, no longer count as lost (`catch_up_s`).
const CATCH_UP: Duration = Duration::from_secs(4);

const PATCH: &str = "PATCH /-/configuration";

/// What one try of an order came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acknowledged,
    Refused(u16),
    /// No answer, or one that says nothing about the order: it may have been taken.
    Unclear,
}

impl From<Message> for Outcome {
    fn from(answer: Message) -> Self {
        match answer.status() {
            200..300 => Outcome::Acknowledged,
            status @ (400..=407 | 409..=428 | 430..500) => Outcome::Refused(status),
            _ => Outcome::Unclear,
        }
    }
}

/// A call that sets one route; its prefix tells its content.
pub fn set_route(name: &str, prefix: &str, version: u32) -> String {
    format!(
        r#"{{"upserts":{{"route_list":[{}]}}}}"#,
        route(name, prefix, "s", version, "")
    )
}

pub fn remove_route(name: &str, version: u32) -> String {
    format!(
        r#"{{"upserts":{{}},"removals":{{"route_list":[{{"name":"{name}","config_version":"r{version}"}}]}}}}"#
    )
}

/// One try at one machine.
pub fn change(at: SocketAddr, body: &str) -> Outcome {
    call(at, PATCH, body).into()
}

pub fn evacuate(at: SocketAddr, zone: &str, on: bool) -> Outcome {
    call(
        at,
        &format!(
            "{} /-/evacuations/{zone}",
            if on { "POST" } else { "DELETE" }
        ),
        "",
    )
    .into()
}

/// The configuration as one machine reads it; none where it does not answer.
pub fn read(at: SocketAddr) -> Option<String> {
    let answer = call(at, "GET /-/configuration", "");
    (answer.status() == 200).then(|| String::from_utf8_lossy(&answer.body).into_owned())
}

/// Sends a change and goes away without its answer.
pub fn send_and_hang_up(at: SocketAddr, body: &str) {
    let head = format!(
        "{PATCH} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    if let Ok(mut socket) = TcpStream::connect_timeout(&at, Duration::from_secs(1)) {
        socket.write_all((head + body).as_bytes()).ok();
    }
}

impl Cluster {
    /// Starts all machines and has the first configuration taken: one route, one tenant, two services.
    pub fn begin(&mut self) {
        self.start(true, |_| true);
        let body = first(&[route("r-1", "/x/", "s", 1, "")], TENANT);
        assert_eq!(
            Outcome::from(self.order(PATCH, &body)),
            Outcome::Acknowledged
        );
    }

    /// Sends a change to whichever machine takes it.
    pub fn change_anywhere(&mut self, body: &str) {
        assert_eq!(
            Outcome::from(self.order(PATCH, body)),
            Outcome::Acknowledged,
            "{body}"
        );
    }

    /// Sends a change to one machine until it is acknowledged; it must not be refused.
    pub fn change_at(&mut self, machine: usize, body: &str) {
        let at = self.control(machine);
        self.until("the change is acknowledged", |_| {
            let outcome = change(at, body);
            assert!(
                !matches!(outcome, Outcome::Refused(_)),
                "{outcome:?}: {body}"
            );
            outcome == Outcome::Acknowledged
        });
    }

    /// What one machine reads, asked until it answers.
    pub fn read_at(&mut self, machine: usize) -> String {
        let (at, mut text) = (self.control(machine), None);
        self.until("the configuration is read", |_| {
            text = read(at);
            text.is_some()
        });
        text.expect("read")
    }

    /// Each running core machine reads all of these prefixes.
    pub fn all_read(&mut self, prefixes: &[String]) {
        for machine in self.running_core() {
            let text = self.read_at(machine);
            for prefix in prefixes {
                assert!(
                    text.contains(prefix.as_str()),
                    "{prefix} is not read at machine {machine}: {text}"
                );
            }
        }
    }

    /// The digest of what a registry knows to be decided, as `damsonbeam-ctl state` tells it.
    pub fn digest(&self, machine: usize) -> Option<String> {
        let state = damsonbeam_ctl::state(self.control(machine)).ok()?;
        Some(
            state
                .split("\"digest\":\"")
                .nth(1)?
                .split('"')
                .next()?
                .to_string(),
        )
    }

    /// Waits as long as a machine that came counts as lost, and until all know the same.
    pub fn settle(&mut self, since: Instant) {
        self.until_level();
        thread::sleep((since + CATCH_UP).saturating_duration_since(Instant::now()));
    }

    /// All running core machines know the same.
    pub fn until_level(&mut self) {
        self.until("all core machines know the same", |cluster| {
            let mut digests = cluster
                .running_core()
                .into_iter()
                .map(|n| cluster.digest(n));
            let first = digests.next().flatten();
            first.is_some() && digests.all(|d| d == first)
        });
    }
}
