//! Operators' calls for tests: each function makes one attempt and returns its outcome.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use damsonbeam_lab::http::HttpMessage;

use crate::cluster::{Cluster, call};
use crate::{TENANT_JSON, initial_configuration, route};

/// Time after which a machine that joined, or one that left permanently, no longer counts as lost (`catch_up_s`).
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

const PATCH_CONFIGURATION: &str = "PATCH /-/configuration";

/// The outcome of one attempt of an operator's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acknowledged,
    Rejected(u16),
    /// No response, or a status that leaves open whether the call was applied.
    Unclear,
}

impl From<HttpMessage> for Outcome {
    fn from(response: HttpMessage) -> Self {
        match response.status() {
            200..300 => Outcome::Acknowledged,
            status @ (400..=407 | 409..=428 | 430..500) => Outcome::Rejected(status),
            _ => Outcome::Unclear,
        }
    }
}

/// Returns the body of a change that sets one route; tests recognize the content by the prefix.
pub fn set_route(name: &str, prefix: &str, version: u32) -> String {
    format!(
        r#"{{"upserts":{{"route_list":[{}]}}}}"#,
        route(name, prefix, "s", version, "")
    )
}

/// Returns the body of a change that removes one route.
pub fn remove_route(name: &str, version: u32) -> String {
    format!(
        r#"{{"upserts":{{}},"removals":{{"route_list":[{{"name":"{name}","config_version":"r{version}"}}]}}}}"#
    )
}

/// Sends a change once to one machine.
pub fn try_change(address: SocketAddr, body: &str) -> Outcome {
    call(address, PATCH_CONFIGURATION, body).into()
}

/// Sends a call that evacuates a zone, or revokes the evacuation if `on` is false, once to one machine.
pub fn evacuate(address: SocketAddr, zone: &str, on: bool) -> Outcome {
    call(
        address,
        &format!(
            "{} /-/evacuations/{zone}",
            if on { "POST" } else { "DELETE" }
        ),
        "",
    )
    .into()
}

/// Returns the configuration as one machine reads it, or `None` if the status is not 200.
pub fn read_configuration(address: SocketAddr) -> Option<String> {
    let response = call(address, "GET /-/configuration", "");
    (response.status() == 200).then(|| String::from_utf8_lossy(&response.body).into_owned())
}

/// Sends a change and closes the connection without reading the response.
pub fn send_without_reading_response(address: SocketAddr, body: &str) {
    let head = format!(
        "{PATCH_CONFIGURATION} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    if let Ok(mut socket) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        socket.write_all((head + body).as_bytes()).ok();
    }
}

impl Cluster {
    /// Starts all machines and sets the initial configuration: one route, one tenant, two services.
    pub fn start_configured(&mut self) {
        self.start(true, |_| true);
        let body = initial_configuration(&[route("r-1", "/x/", "s", 1, "")], TENANT_JSON);
        assert_eq!(
            Outcome::from(self.call_any_core(PATCH_CONFIGURATION, &body)),
            Outcome::Acknowledged
        );
    }

    /// Sends a change to the core machines in turn until one answers; asserts that the change is acknowledged.
    pub fn change_at_any_machine(&mut self, body: &str) {
        assert_eq!(
            Outcome::from(self.call_any_core(PATCH_CONFIGURATION, body)),
            Outcome::Acknowledged,
            "{body}"
        );
    }

    /// Sends a change to one machine until it is acknowledged; asserts that it is never rejected.
    pub fn change_at(&mut self, machine: usize, body: &str) {
        let address = self.control_address(machine);
        self.wait_until("the change is acknowledged", |_| {
            let outcome = try_change(address, body);
            assert!(
                !matches!(outcome, Outcome::Rejected(_)),
                "{outcome:?}: {body}"
            );
            outcome == Outcome::Acknowledged
        });
    }

    /// Reads the configuration at one machine, repeating until the machine answers.
    pub fn read_at(&mut self, machine: usize) -> String {
        let (address, mut text) = (self.control_address(machine), None);
        self.wait_until("the configuration is read", |_| {
            text = read_configuration(address);
            text.is_some()
        });
        text.expect("read")
    }

    /// Asserts that the configuration at each running core machine contains all given texts.
    pub fn assert_all_read(&mut self, prefixes: &[String]) {
        for machine in self.running_core_machines() {
            let text = self.read_at(machine);
            for prefix in prefixes {
                assert!(
                    text.contains(prefix.as_str()),
                    "the configuration at machine {machine} lacks {prefix}: {text}"
                );
            }
        }
    }

    /// Returns the digest of the decided items that a registry knows, as shown by `damsonbeam-ctl state`.
    pub fn digest(&self, machine: usize) -> Option<String> {
        let state = damsonbeam_ctl::state(self.control_address(machine)).ok()?;
        Some(
            state
                .split("\"digest\":\"")
                .nth(1)?
                .split('"')
                .next()?
                .to_string(),
        )
    }

    /// Waits until all running core machines are in sync, and until [`CATCH_UP_TIME`] after `since`.
    pub fn wait_until_caught_up(&mut self, since: Instant) {
        self.wait_until_in_sync();
        thread::sleep((since + CATCH_UP_TIME).saturating_duration_since(Instant::now()));
    }

    /// Waits until the digests of all running core machines are equal.
    pub fn wait_until_in_sync(&mut self) {
        self.wait_until("all core machines have the same digest", |cluster| {
            let mut digests = cluster
                .running_core_machines()
                .into_iter()
                .map(|n| cluster.digest(n));
            let first_digest = digests.next().flatten();
            first_digest.is_some() && digests.all(|d| d == first_digest)
        });
    }
}
