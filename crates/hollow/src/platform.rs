//! A stand-in for the platform's list of backends, in pages, with backends replaced at a rate.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use damsonbeam_lab::http::{HttpMessage, response_text};

use crate::Error;
use crate::topology::Topology;

/// Addresses of backends that nobody calls: documentation's range does not route.
const BACKEND_PORT: u16 = 8080;

struct Backends {
    /// The incarnation of each.
    incarnations: Vec<u64>,
    next_incarnation: u64,
    services: usize,
}

impl Backends {
    fn entry(&self, number: usize) -> String {
        let incarnation = self.incarnations[number];
        let service = number % self.services;
        let zone = Topology::zone(number);
        let high = number / 250;
        let low = number % 250 + 1;
        format!(
            r#"{{"id":"i-{incarnation:08x}","target_service":"{}","address":"10.130.{high}.{low}:{BACKEND_PORT}","zone":"{zone}","config_version":"v1","capacity_slots":6,"state":"ready","cold_remaining_ms":0}}"#,
            crate::operator::service_name(service)
        )
    }

    fn page(&self, from: usize, size: usize) -> String {
        let to = (from + size).min(self.incarnations.len());
        let entries: Vec<String> = (from..to).map(|number| self.entry(number)).collect();
        let next = if to < self.incarnations.len() {
            format!("\"{to}\"")
        } else {
            "null".into()
        };
        format!(
            "{{\"instances\":[{}],\"next_page_token\":{next}}}",
            entries.join(",")
        )
    }
}

/// A stand-in for the platform.
pub struct Platform {
    /// Where it answers.
    pub at: SocketAddr,
    backends: Arc<Mutex<Backends>>,
    readings: Arc<AtomicU64>,
}

impl Platform {
    /// Starts it with a list of backends.
    ///
    /// # Errors
    /// Where no port can be had.
    pub fn start(backends: usize, services: usize, page: usize) -> Result<Self, Error> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let incarnations = (0..backends as u64).collect();
        let list = Backends {
            incarnations,
            next_incarnation: backends as u64,
            services: services.max(1),
        };
        let backends = Arc::new(Mutex::new(list));
        let readings = Arc::<AtomicU64>::default();
        let list = backends.clone();
        let counted = readings.clone();
        thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let list = list.clone();
                let counted = counted.clone();
                thread::spawn(move || {
                    let Ok(mut out) = socket.try_clone() else {
                        return;
                    };
                    let mut from = BufReader::new(socket);
                    while let Some(request) = HttpMessage::read(&mut from) {
                        let token = request.start_line.split_once("page_token=").map(|t| t.1);
                        let digits = |t: &str| t.split(' ').next().and_then(|t| t.parse().ok());
                        let begin = token.and_then(digits).unwrap_or(0);
                        let body = list.lock().map_or(String::new(), |l| l.page(begin, page));
                        if !body.contains("\"next_page_token\":\"") {
                            counted.fetch_add(1, Ordering::Relaxed);
                        }
                        if out
                            .write_all(response_text("200 OK", &body).as_bytes())
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Ok(Platform {
            at,
            backends,
            readings,
        })
    }

    /// A backend ends and another one comes in its place.
    pub fn replace(&self, number: usize) {
        if let Ok(mut list) = self.backends.lock() {
            let position = number % list.incarnations.len().max(1);
            list.incarnations[position] = list.next_incarnation;
            list.next_incarnation += 1;
        }
    }

    /// Whole readings of the list so far.
    pub fn readings(&self) -> u64 {
        self.readings.load(Ordering::Relaxed)
    }
}
