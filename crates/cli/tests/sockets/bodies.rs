//! Request and response bodies that exceed the gateway's memory.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::*;

/// Size of a large body, in bytes.
const LARGE_BODY: usize = 8 << 20;
/// Largest body, in bytes, that the gateway buffers.
const BUFFERED_BODY: usize = 64 << 10;

/// Returns a body whose bytes depend on their position.
fn body(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n / 251 + n % 251) as u8).collect()
}

/// Starts a server that reads a request head from each connection and passes the number of earlier heads, the head and
/// the stream to `handle`. Returns the address and the number of heads read so far.
fn start_raw_server(
    handle: impl Fn(usize, HttpMessage, BufReader<TcpStream>) + Send + Sync + 'static,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, handle, heads) = (
        listener.local_addr().unwrap(),
        Arc::new(handle),
        Arc::<AtomicUsize>::default(),
    );
    let count = heads.clone();
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let (handle, count) = (handle.clone(), count.clone());
            thread::spawn(move || {
                let mut stream = BufReader::new(socket);
                if let Some(head) = HttpMessage::read_head(&mut stream) {
                    handle(count.fetch_add(1, Ordering::SeqCst), head, stream);
                }
            });
        }
    });
    (address, heads)
}

/// Starts a gateway with a memory limit whose operation has idempotency `dedup`.
fn start_dedup_gateway(members: &[(&str, SocketAddr)], memory_mb: u64) -> Gateway {
    let (mut config, list_updates) = gateway_config(members, None);
    config["limits"]["memory_mb"] = json!(memory_mb);
    config["settings"]["request-classes"][0]["idempotency"] = json!("dedup");
    config["settings"]["request-classes"][0]["group"] = json!("all");
    config["settings"]["request-classes"][0]["window-ns"] = json!(60_000_000_000u64);
    start_gateway(&config, list_updates)
}

/// Returns the head of a POST request with the correlation id `n` and a body of `length` bytes.
fn post(n: usize, length: usize) -> String {
    let text = request("/tile", &format!("Content-Length: {length}\r\n")).replace("GET", "POST");
    text.replace("9b1f03aa5c7e2d41", &format!("{n:016x}"))
}

#[test]
fn large_bodies_and_responses_pass_unchanged_within_32_mb_of_memory() {
    let (address, _) = start_raw_server(|_, head, mut stream| {
        let mut received = vec![0; head.header("content-length").unwrap().parse().unwrap()];
        stream.read_exact(&mut received).unwrap();
        // The response is the request body in chunks of uneven size.
        stream
            .get_mut()
            .write_all(
                b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
            )
            .unwrap();
        for part in received.chunks(100_003) {
            write!(stream.get_mut(), "{:x}\r\n", part.len()).unwrap();
            stream.get_mut().write_all(part).unwrap();
            stream.get_mut().write_all(b"\r\n").unwrap();
        }
        stream.get_mut().write_all(b"0\r\n\r\n").unwrap();
        stream.read_exact(&mut [0]).ok();
    });
    let gateway = start_dedup_gateway(&[("s-1", address), ("s-2", address)], 48);
    let clients: Vec<_> = (0..10)
        .map(|n| {
            let address = gateway.address;
            thread::spawn(move || {
                let (mut socket, sent) = (connect(address), body(LARGE_BODY));
                socket
                    .get_mut()
                    .write_all(post(n, LARGE_BODY).as_bytes())
                    .unwrap();
                socket.get_mut().write_all(&sent).unwrap();
                let response = HttpMessage::read(&mut socket).expect("the response is truncated");
                assert_eq!(response.status(), 200);
                assert!(response.body == sent, "the response differs from the body");
            })
        })
        .collect();
    let mut peak = 0;
    while clients.iter().any(|t| !t.is_finished()) {
        peak = peak.max(anon_memory_kb(&gateway));
        thread::sleep(Duration::from_millis(5));
    }
    clients.into_iter().for_each(|t| t.join().unwrap());
    assert!(
        (1..32 << 10).contains(&peak),
        "{peak} kB for 80 MB each way"
    );
}

#[test]
fn partly_sent_body_is_not_sent_to_another_backend() {
    let (address, heads) = start_raw_server(|_, _, mut stream| {
        // Reads more than the gateway buffers, then closes the connection.
        stream.read_exact(&mut vec![0; 1 << 20]).unwrap();
    });
    let other = start_fixed_backend("other");
    let gateway = start_dedup_gateway(&[("s-1", address)], 192);
    gateway
        .list_updates
        .send(page(2, true, vec![member("s-1", address, "active")]))
        .unwrap();
    let mut socket = connect(gateway.address);
    socket
        .get_mut()
        .write_all(post(1, LARGE_BODY).as_bytes())
        .unwrap();
    gateway
        .list_updates
        .send(page(
            3,
            true,
            vec![
                member("s-1", address, "active"),
                member("s-2", other.address, "active"),
            ],
        ))
        .unwrap();
    socket.get_mut().write_all(&body(LARGE_BODY)).ok();
    // The last byte was not written, so the request did not run and the client may retry.
    assert_eq!(
        HttpMessage::read(&mut socket)
            .expect("the client got no response")
            .status(),
        429
    );
    assert_eq!(
        (
            heads.load(Ordering::SeqCst),
            other.requests.lock().unwrap().len()
        ),
        (1, 0)
    );
}

#[test]
fn unsent_body_goes_to_another_backend() {
    let (_socket, refusing) = reserve_address();
    let received_body = Arc::new(Mutex::new(Vec::new()));
    let body_slot = received_body.clone();
    let (address, _) = start_raw_server(move |_, head, mut stream| {
        let mut received = vec![0; head.header("content-length").unwrap().parse().unwrap()];
        stream.read_exact(&mut received).unwrap();
        *body_slot.lock().unwrap() = received;
        stream
            .get_mut()
            .write_all(response_text("200 OK\r\nConnection: close", "took it").as_bytes())
            .unwrap();
    });
    let gateway = start_dedup_gateway(&[("s-1", refusing), ("s-2", address)], 192);
    for n in 0..4 {
        let mut socket = connect(gateway.address);
        socket
            .get_mut()
            .write_all(post(n, LARGE_BODY).as_bytes())
            .unwrap();
        socket.get_mut().write_all(&body(LARGE_BODY)).unwrap();
        assert_eq!(HttpMessage::read(&mut socket).unwrap().body, b"took it");
        assert!(
            *received_body.lock().unwrap() == body(LARGE_BODY),
            "the backend received another body"
        );
    }
}

#[test]
fn response_broken_midway_is_visibly_truncated_for_the_client() {
    for head in ["Content-Length: 1000000", "Transfer-Encoding: chunked"] {
        let (address, heads) = start_raw_server(move |_, _, mut stream| {
            let part = vec![b'x'; 200_000];
            write!(stream.get_mut(), "HTTP/1.1 200 OK\r\n{head}\r\n\r\n").unwrap();
            if head.starts_with('T') {
                write!(stream.get_mut(), "{:x}\r\n", part.len()).unwrap();
            }
            stream.get_mut().write_all(&part).unwrap();
        });
        let gateway = start_default_gateway(&[("s-1", address)], None);
        let mut socket = connect(gateway.address);
        socket
            .get_mut()
            .write_all(request("/tile", "").as_bytes())
            .unwrap();
        let response = HttpMessage::read_head(&mut socket).expect("the response has not begun");
        assert_eq!(response.status(), 200);
        let mut rest = Vec::new();
        socket.read_to_end(&mut rest).ok();
        assert!(
            rest.len() < 1_000_000 && !rest.ends_with(b"0\r\n\r\n"),
            "{head}: the response looks complete"
        );
        assert_eq!(
            heads.load(Ordering::SeqCst),
            1,
            "a started response must not be requested again"
        );
    }
}

#[test]
fn response_ended_by_close_is_complete_and_by_reset_is_truncated_or_retried() {
    for (length, reset) in [(10, false), (300_000, false), (10, true), (300_000, true)] {
        let (address, _) = start_raw_server(move |n, _, mut stream| {
            stream
                .get_mut()
                .write_all(b"HTTP/1.1 200 OK\r\n\r\n")
                .unwrap();
            stream.get_mut().write_all(&body(length)).unwrap();
            if reset && n == 0 {
                // Waits until the bytes are delivered, because a reset discards undelivered data.
                thread::sleep(Duration::from_millis(20));
                socket2::SockRef::from(stream.get_ref())
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
            }
        });
        let gateway = start_default_gateway(&[("s-1", address)], None);
        let mut socket = connect(gateway.address);
        socket
            .get_mut()
            .write_all(request("/tile", "").as_bytes())
            .unwrap();
        let response = HttpMessage::read(&mut socket);
        if reset && length > BUFFERED_BODY {
            assert!(response.is_none(), "a started response must be truncated");
        } else {
            assert!(
                response.is_some_and(|a| a.status() == 200 && a.body == body(length)),
                "{length} {reset}"
            );
        }
    }
}

#[test]
fn slow_response_begun_before_the_client_deadline_is_forwarded_completely() {
    let (address, _) = start_raw_server(|_, _, mut stream| {
        stream
            .get_mut()
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .unwrap();
        for _ in 0..25 {
            thread::sleep(Duration::from_millis(100));
            if stream
                .get_mut()
                .write_all(format!("1000\r\n{}\r\n", "x".repeat(0x1000)).as_bytes())
                .is_err()
            {
                return;
            }
        }
        stream.get_mut().write_all(b"0\r\n\r\n").unwrap();
    });
    let gateway = start_default_gateway(&[("s-1", address)], None);
    let mut socket = connect(gateway.address);
    let text = request("/tile", "").replace("Left-Ms: 6000", "Left-Ms: 1000");
    socket.get_mut().write_all(text.as_bytes()).unwrap();
    let response = HttpMessage::read(&mut socket).expect("the response is truncated");
    assert_eq!((response.status(), response.body.len()), (200, 25 * 0x1000));
}

#[test]
fn slow_upload_is_accepted_and_stalled_upload_is_ended() {
    let (address, _) = start_raw_server(|_, head, mut stream| {
        let mut received = vec![0; head.header("content-length").unwrap().parse().unwrap()];
        stream.read_exact(&mut received).unwrap();
        stream
            .get_mut()
            .write_all(response_text("200 OK\r\nConnection: close", "took it").as_bytes())
            .unwrap();
    });
    let gateway = start_dedup_gateway(&[("s-1", address)], 192);
    let slow = gateway.address;
    let slow = thread::spawn(move || {
        let mut socket = connect(slow);
        // The client's time limit starts with the last byte of the request, so that a body sent over 3 s doesn't exceed
        // a limit of 1 s.
        let text = post(1, 192 << 10).replace("Left-Ms: 6000", "Left-Ms: 1000");
        for part in text.as_bytes().chunks(text.len() / 4 + 1) {
            socket.get_mut().write_all(part).unwrap();
            thread::sleep(Duration::from_millis(450));
        }
        for part in body(192 << 10).chunks(16 << 10) {
            socket.get_mut().write_all(part).unwrap();
            thread::sleep(Duration::from_millis(250));
        }
        HttpMessage::read(&mut socket)
    });
    let (start, mut stalled) = (Instant::now(), connect(gateway.address));
    stalled
        .get_mut()
        .write_all(post(2, LARGE_BODY).as_bytes())
        .unwrap();
    stalled.get_mut().write_all(&body(1 << 20)).unwrap();
    let response = HttpMessage::read(&mut stalled);
    assert!(response.is_none_or(|a| a.status() != 200));
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "a stalled client holds its slot"
    );
    assert_eq!(
        slow.join()
            .unwrap()
            .expect("the slow upload got no response")
            .status(),
        200
    );
}

#[test]
fn backend_is_read_no_faster_than_the_client_reads() {
    let (part_written, parts_written) = channel();
    let (address, _) = start_raw_server(move |_, _, mut stream| {
        write!(
            stream.get_mut(),
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            32 << 20
        )
        .unwrap();
        for _ in 0..32 {
            stream.get_mut().write_all(&vec![b'x'; 1 << 20]).unwrap();
            part_written.send(()).ok();
        }
    });
    let gateway = start_default_gateway(&[("s-1", address)], None);
    let mut socket = connect(gateway.address);
    socket
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    HttpMessage::read_head(&mut socket).unwrap();
    thread::sleep(Duration::from_secs(1));
    let sent_early = parts_written.try_iter().count();
    assert!(
        sent_early < 24,
        "{sent_early} MB were read for a client that reads nothing"
    );
    // The transfer continues when the client reads.
    let mut rest = vec![0; 32 << 20];
    socket.read_exact(&mut rest).unwrap();
    assert!(rest.iter().all(|b| *b == b'x'));
}

/// Measures the memory by number and size of concurrent bodies, for the table in docs/results/bodies. The run is long
/// and asserts nothing. Command:
/// `cargo test -p damsonbeam-cli --test sockets -- --ignored --nocapture memory_by_bodies`.
#[test]
#[ignore = "a measurement"]
fn memory_by_bodies() {
    println!("bodies,mb_each,way,answered,rss_kb_before,rss_kb_most,seconds");
    for (count, mb) in [(1, 32), (8, 32), (32, 8), (32, 32), (96, 4), (96, 32)] {
        for upload in [true, false] {
            let (address, _) = start_raw_server(move |_, head, mut stream| {
                if upload {
                    let mut left: u64 = head.header("content-length").unwrap().parse().unwrap();
                    let mut part = vec![0; 1 << 16];
                    while left > 0 {
                        match stream.read(&mut part) {
                            Ok(n @ 1..) => left -= n as u64,
                            _ => return,
                        }
                    }
                    stream
                        .get_mut()
                        .write_all(
                            response_text("200 OK\r\nConnection: close", "took it").as_bytes(),
                        )
                        .ok();
                } else {
                    write!(
                        stream.get_mut(),
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                        mb << 20
                    )
                    .unwrap();
                    for _ in 0..mb * 16 {
                        if stream.get_mut().write_all(&[b'x'; 1 << 16]).is_err() {
                            return;
                        }
                    }
                }
            });
            let names: Vec<String> = (0..24).map(|n| format!("s-{n}")).collect();
            let members: Vec<_> = names.iter().map(|n| (n.as_str(), address)).collect();
            let gateway = if upload {
                start_dedup_gateway(&members, 192)
            } else {
                crate::harness::start_default_gateway(&members, None)
            };
            let (before, start) = (anon_memory_kb(&gateway), Instant::now());
            let run_client = move |address, n| {
                let mut socket = connect(address);
                let text = if upload {
                    post(n, mb << 20)
                } else {
                    request("/tile", "")
                };
                let text = text.replace("9b1f03aa5c7e2d41", &format!("{n:016x}"));
                socket.get_mut().write_all(text.as_bytes()).unwrap();
                for _ in 0..if upload { mb * 16 } else { 0 } {
                    socket.get_mut().write_all(&[b'x'; 1 << 16]).ok();
                }
                let response = HttpMessage::read_head(&mut socket);
                let copied = std::io::copy(&mut socket, &mut std::io::sink());
                response.is_some_and(|a| a.status() == 200)
                    && (upload || copied.is_ok_and(|n| n == mb as u64 * (1 << 20)))
            };
            let clients: Vec<_> = (0..count)
                .map(|n| (gateway.address, n))
                .map(|(address, n)| thread::spawn(move || run_client(address, n)))
                .collect();
            let mut peak = before;
            while clients.iter().any(|t| !t.is_finished()) {
                peak = peak.max(anon_memory_kb(&gateway));
                thread::sleep(Duration::from_millis(2));
            }
            let answered = clients
                .into_iter()
                .map(|t| t.join().unwrap())
                .filter(|w| *w)
                .count();
            let (direction, seconds) = (
                if upload { "up" } else { "down" },
                start.elapsed().as_secs_f64(),
            );
            println!("{count},{mb},{direction},{answered},{before},{peak},{seconds:.1}");
        }
    }
}
