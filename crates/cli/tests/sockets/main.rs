//! Tests of the gateway process against fake backends, counters and discovery services on loopback.

mod bodies;
mod harness;
mod operators;
mod upgrade;

use std::io::{BufRead, Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use damsonbeam::interface::ListUpdate;
use damsonbeam_gateway::backend_list::NameTable;
use damsonbeam_gateway::log::RateLimitedSite;
use damsonbeam_gateway::request_heads::HeadScanner;
use damsonbeam_gateway::write_meter::WriteMeter;
use harness::*;
use serde_json::{Value, json};

#[test]
fn invocation_is_forwarded_unchanged_and_response_returned_complete() {
    let backend = start_fixed_backend("the tile");
    let (mut config, list_updates) = gateway_config(&[("s-1", backend.address)], None);
    config["settings"]["request-classes"][0]["idempotency"] = json!("dedup");
    let gateway = start_gateway(&config, list_updates);
    let post = "POST /tile/7/3?x=1&y=%20 HTTP/1.1";
    let text = request("/", "Content-Length: 4\r\nConnection: x-correlation-id\r\n");
    let text = text.replace("GET / HTTP/1.1", post) + "body";
    let mut socket = connect(gateway.address);
    for n in 0..3 {
        socket.get_mut().write_all(text.as_bytes()).unwrap();
        let response = HttpMessage::read(&mut socket).unwrap();
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, b"the tile".as_slice())
        );
        let received = backend.requests.lock().unwrap()[n].clone();
        assert_eq!(
            (received.start_line.as_str(), received.body.as_slice()),
            (post, b"body".as_slice())
        );
        assert_eq!(
            received.header("x-correlation-id"),
            Some("9b1f03aa5c7e2d41")
        );
        assert!(
            received
                .header("x-time-left-ms")
                .unwrap()
                .parse::<u64>()
                .unwrap()
                <= 6000
        );
    }
}

#[test]
fn malformed_or_too_large_request_reaches_no_backend() {
    let backend = start_fixed_backend("");
    let (mut config, list_updates) = gateway_config(&[("s-1", backend.address)], None);
    let mut class = config["settings"]["request-classes"][0].clone();
    (class["name"], class["idempotency"]) = (json!("mark"), json!("fragile"));
    config["settings"]["request-classes"]
        .as_array_mut()
        .unwrap()
        .push(class);
    let gateway = start_gateway(&config, list_updates);
    let valid_request = request("/tile", "");
    let length_first = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    let chunked_first = "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n";
    let duplicate_id = format!(
        "X-Tariff: basic\r\n{}",
        "X-Correlation-Id: 9b1f03aa5c7e2d41"
    );
    for (pattern, replacement) in [
        ("/tile", "/other"),
        ("/tile", "//tile"),
        ("/tile", "http://other/tile"),
        ("GET", "POST"),
        ("GET /tile", "GET /mark"),
        ("X-Correlation-Id: 9b1f03aa5c7e2d41", "X-Other: 1"),
        ("X-Tariff: basic", &duplicate_id),
        ("X-Tariff: basic", "X-Tariff: none"),
        ("00000000b4d65521", "b4d65521"),
        ("00000000b4d65521", "+0000000b4d65521"),
        ("00000000b4d65521", "0000000200000000"),
        ("Left-Ms: 6000", "Left-Ms: -1"),
        ("Left-Ms: 6000", "Left-Ms: +1"),
        ("Left-Ms: 6000", "Left-Ms: 18446744073709551615"),
        ("units=2", "units=NaN"),
        ("units=2", "units=0"),
        ("units=2", "units=1e1"),
        ("units=2", "units=8.5"),
        ("units=2", "units=2,units=8"),
        ("spread=1", "spread=1.5"),
        ("spread=1", "spread=0"),
        ("spread=1", "spread=2"),
        ("first=0", "first=1"),
        (",first=0", ""),
        ("Host: backend.local", "Host backend.local"),
        ("Host: backend.local", "Content-Length: -1"),
        ("X-Tariff", "X Tariff"),
        ("GET /tile", "POST /mark"),
    ] {
        assert!(valid_request.contains(pattern));
        let mut text = valid_request.replace(pattern, replacement);
        if replacement == "POST /mark" {
            // Both framing headers, in either order: such a body can smuggle a second request.
            for framing in [length_first, chunked_first] {
                let text = text.replace("\r\n\r\n", &format!("\r\n{framing}\r\n"));
                assert_eq!(
                    send_request(gateway.address, &text).status(),
                    400,
                    "{framing}"
                );
            }
            text = text.replace("POST", "GET");
        }
        assert_eq!(
            send_request(gateway.address, &text).status(),
            400,
            "{replacement}"
        );
    }
    let body = valid_request.replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx");
    assert_eq!(send_request(gateway.address, &body).status(), 400);
    let post = |extra| request("/mark", extra).replace("GET", "POST");
    assert_eq!(
        send_request(gateway.address, &post("Content-Length: 33554433\r\n")).status(),
        413
    );
    assert!(backend.requests.lock().unwrap().is_empty());
    assert_eq!(send_request(gateway.address, &valid_request).status(), 200);
    let chunked = post("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n\r\n";
    assert_eq!(send_request(gateway.address, &chunked).status(), 200);
}

#[test]
fn head_scanner_finds_conflicting_lengths_at_any_position_and_chunk_size() {
    let valid_heads = "\r\nPOST /a HTTP/1.1\r\nContent-Length: 30\r\n\r\ntransfer-encoding: chunked\r\n\r\n\
               POST /b HTTP/1.1\r\nX: content-length: 1\r\nTransfer-Encoding: chunked\r\n";
    let long_header = format!("X-Long: {}\r\n", "y".repeat(300));
    for (extra, conflicting) in [("", false), ("CONTENT-LENGTH: 7\r\n", true)] {
        let text = format!("{valid_heads}{long_header}{extra}\r\n");
        for chunk_size in 1..40 {
            let mut heads = HeadScanner::default();
            text.as_bytes()
                .chunks(chunk_size)
                .for_each(|part| heads.scan(part));
            assert_eq!(
                heads.has_conflicting_length(),
                conflicting,
                "{extra} in chunks of {chunk_size}"
            );
        }
    }
}

#[test]
fn id_of_an_open_invocation_is_rejected_with_status_409() {
    let (backend, arrived, release) =
        start_held_backend(0, |_| Behavior::Respond(response_text("200 OK", "mine")));
    let gateway = start_default_gateway(&[("s-1", backend.address)], None);
    let mut socket = connect(gateway.address);
    socket
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    receive(&arrived);
    assert_eq!(
        send_request(gateway.address, &request("/tile", "")).status(),
        409
    );
    drop(release);
    assert_eq!(HttpMessage::read(&mut socket).unwrap().body, b"mine");
    assert_eq!(
        send_request(gateway.address, &request("/tile", "")).status(),
        200
    );
}

/// Idle connections of clients that sent one request and stayed connected once kept new clients out. An earlier fix
/// closed the connection with every response when there were many connections, which cost a connection per invocation
/// (issue 23). An idle connection is now closed only when a new client waits for a slot.
#[test]
fn idle_connections_block_no_new_client_and_stay_open_while_slots_are_free() {
    let backend = start_fixed_backend("");
    let gateway = start_default_gateway(&[("s-1", backend.address)], None);
    let mut idle = Vec::new();
    for n in 0..300 {
        let mut socket = connect(gateway.address);
        socket
            .get_mut()
            .write_all(request("/tile", "").as_bytes())
            .unwrap();
        let response =
            HttpMessage::read(&mut socket).expect("the gateway did not serve the connection");
        assert_eq!(response.status(), 200);
        assert!(
            n > 100 || response.header("connection").is_none(),
            "connection {n} was closed although slots were free"
        );
        idle.push(socket);
    }
}

/// With all slots in use, a new connection was once the first to be closed for the next one, before the gateway read
/// its request.
#[test]
fn new_connection_is_not_closed_for_the_next_one_before_its_request_is_read() {
    let backend = start_fixed_backend("");
    let gateway = start_default_gateway(&[("s-1", backend.address)], None);
    let mut idle = Vec::new();
    for _ in 0..200 {
        let mut socket = connect(gateway.address);
        socket
            .get_mut()
            .write_all(request("/tile", "").as_bytes())
            .unwrap();
        assert_eq!(
            HttpMessage::read(&mut socket)
                .expect("the gateway did not serve the connection")
                .status(),
            200
        );
        idle.push(socket);
    }
    // Idle clients hold all slots. Of two new connections the first sends its request after the second has connected,
    // sooner than the gateway closes a silent connection. A busy machine may miss that time, but not ten times in a
    // row.
    let pause = || std::thread::sleep(Duration::from_millis(5));
    let both_are_served = |n: u32| {
        let mut newcomers = Vec::new();
        for _ in 0..2 {
            newcomers.push(connect(gateway.address));
            pause();
        }
        let mut is_served = |i: usize| {
            let id = format!("{:016x}", 2 * n + i as u32);
            let text = request("/tile", "").replace("9b1f03aa5c7e2d41", &id);
            newcomers[i].get_mut().write_all(text.as_bytes()).ok();
            HttpMessage::read(&mut newcomers[i]).is_some_and(|a| a.status() == 200)
        };
        is_served(0) && is_served(1)
    };
    assert!(
        (0..10).any(both_are_served),
        "a new connection was closed without a response"
    );
}

/// These connections never complete a request. Without a time limit each would hold its slot forever.
#[test]
fn connection_without_a_complete_request_is_closed() {
    let backend = start_fixed_backend("");
    let gateway = start_default_gateway(&[("s-1", backend.address)], None);
    let partial_head = request("/tile", "").replace("\r\n\r\n", "\r\nX-More: ");
    let partial_body = request("/tile", "Content-Length: 9\r\n") + "x";
    let mut sockets = Vec::new();
    for text in ["", "GET", partial_head.as_str(), partial_body.as_str()] {
        for after_request in [false, true] {
            let mut socket = connect(gateway.address);
            if after_request {
                socket
                    .get_mut()
                    .write_all(request("/tile", "").as_bytes())
                    .unwrap();
                assert_eq!(HttpMessage::read(&mut socket).unwrap().status(), 200);
            }
            socket.get_mut().write_all(text.as_bytes()).unwrap();
            sockets.push(socket);
        }
    }
    for mut socket in sockets {
        let mut rest = Vec::new();
        let ended = socket.read_to_end(&mut rest);
        let timed_out = |e: &std::io::Error| e.kind() == std::io::ErrorKind::WouldBlock;
        assert!(
            !ended.is_err_and(|e| timed_out(&e)),
            "the connection stays open"
        );
        assert!(rest.is_empty() || rest.starts_with(b"HTTP/1.1 4"));
    }
}

#[test]
fn silent_connections_displace_no_active_client() {
    let backend = start_fixed_backend("");
    let gateway = start_default_gateway(&[("s-1", backend.address)], None);
    let mut active: Vec<_> = (0..20).map(|_| connect(gateway.address)).collect();
    for _ in 0..3 {
        for socket in &mut active {
            socket
                .get_mut()
                .write_all(request("/tile", "").as_bytes())
                .unwrap();
            assert_eq!(
                HttpMessage::read(socket)
                    .expect("an active client was displaced")
                    .status(),
                200
            );
        }
        let silent: Vec<_> = (0..300).map(|_| connect(gateway.address)).collect();
        assert_eq!(
            send_request(gateway.address, &request("/tile", "")).status(),
            200
        );
        drop(silent);
    }
}

#[test]
fn full_count_throttles_invocation_and_its_add_is_reverted() {
    let (counter, calls) = start_counter(|_, _| "ok 5e6\r\n".into());
    let backend = start_fixed_backend("");
    let gateway = start_default_gateway(&[("s-1", backend.address)], Some(counter));
    let response = send_request(gateway.address, &request("/tile", ""));
    assert_eq!(response.status(), 429);
    assert!(
        response
            .header("retry-after")
            .unwrap()
            .parse::<f64>()
            .unwrap()
            > 0.0
    );
    assert!(backend.requests.lock().unwrap().is_empty());
    // When the next invocation is answered, the counter has received the add of the first and its reversal.
    send_request(
        gateway.address,
        &request("/tile", "").replace("b4d65521", "b4d65522"),
    );
    let calls = calls.lock().unwrap().clone();
    let added = |name: &str| -> f64 {
        let matching = calls.iter().filter(|c| c.contains(name));
        matching
            .map(|c| c.split(' ').nth(2).unwrap().parse::<f64>().unwrap())
            .sum()
    };
    assert_eq!(added("b4d65521"), 0.0, "{calls:?}");
}

#[test]
fn late_counter_reply_is_not_matched_to_a_later_call() {
    // The first reply, a full count, comes after the timeout of its call and must not throttle a later invocation.
    let (counter, calls) = start_counter(|n, _| match n {
        0 => {
            std::thread::sleep(Duration::from_millis(60));
            "ok 5e6\r\n".into()
        }
        _ => "ok 2\r\n".into(),
    });
    let backend = start_fixed_backend("");
    let (mut config, list_updates) = gateway_config(&[("s-1", backend.address)], Some(counter));
    config["settings"]["domain"]["counter-timeout-ns"] = json!(30_000_000);
    let gateway = start_gateway(&config, list_updates);
    assert_eq!(
        send_request(gateway.address, &request("/tile", "")).status(),
        200
    );
    for n in 2..100 {
        let customer = format!("{:08x}", 0xb4d6_5521u32 + n);
        assert_eq!(
            send_request(
                gateway.address,
                &request("/tile", "").replace("b4d65521", &customer)
            )
            .status(),
            200
        );
        if calls.lock().unwrap().len() > 3 {
            return;
        }
    }
    panic!("the counter is no longer called");
}

#[test]
fn unterminated_counter_reply_delays_no_call() {
    for garbage in ["\u{1}\u{2}", "ok 1x", "oh", "HTTP/1.1 200 OK"] {
        let (counter, calls) = start_counter(move |n, _| {
            if n == 0 {
                garbage.into()
            } else {
                "ok 2\r\n".into()
            }
        });
        let backend = start_fixed_backend("");
        let (mut config, list_updates) = gateway_config(&[("s-1", backend.address)], Some(counter));
        // With this timeout, an invocation that waits for the counter would exceed its client's deadline.
        config["settings"]["domain"]["counter-timeout-ns"] = json!(60_000_000_000u64);
        let gateway = start_gateway(&config, list_updates);
        assert_eq!(
            send_request(gateway.address, &request("/tile", "")).status(),
            200,
            "{garbage:?}"
        );
        assert_eq!(calls.lock().unwrap().len(), 1);
    }
}

#[test]
fn refusing_counter_is_called_again_once_it_listens() {
    let (backend, (listener, address)) = (start_fixed_backend(""), reserve_address());
    let gateway = start_default_gateway(&[("s-1", backend.address)], Some(address));
    assert_eq!(
        send_request(gateway.address, &request("/tile", "")).status(),
        200
    );
    listener.listen(8).unwrap();
    let called = std::thread::spawn(move || {
        let mut line = [0; 6];
        listener.accept().unwrap().0.read_exact(&mut line).unwrap();
        line
    });
    for n in 0..2000 {
        let customer = format!("{:08x}", 0xb4d6_5521u32 + n);
        assert_eq!(
            send_request(
                gateway.address,
                &request("/tile", "").replace("b4d65521", &customer)
            )
            .status(),
            200
        );
        if called.is_finished() {
            assert_eq!(&called.join().unwrap(), b"tally ");
            return;
        }
    }
    panic!("the counter is not called again");
}

#[test]
fn silent_counter_is_called_on_a_new_connection() {
    let (backend, silent) = (
        start_fixed_backend(""),
        std::net::TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    let (mut config, list_updates) = gateway_config(
        &[("s-1", backend.address)],
        Some(silent.local_addr().unwrap()),
    );
    config["settings"]["domain"]["counter-timeout-ns"] = json!(30_000_000);
    let gateway = start_gateway(&config, list_updates);
    // The first connection stays open without a reply. Such connections once held all counter calls of a second each,
    // and as many quota decisions were made on estimates.
    let connections =
        std::thread::spawn(move || [silent.accept().unwrap(), silent.accept().unwrap()]);
    for n in 0..2000 {
        let customer = format!("{:08x}", 0xb4d6_5521u32 + n);
        assert_eq!(
            send_request(
                gateway.address,
                &request("/tile", "").replace("b4d65521", &customer)
            )
            .status(),
            200
        );
        if connections.is_finished() {
            let [(mut first, _), _] = connections.join().unwrap();
            let mut calls = String::new();
            first.read_to_string(&mut calls).unwrap();
            assert_eq!(calls.lines().count(), 1, "{calls}");
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("the silent connection is still used");
}

#[test]
fn rejected_or_broken_attempt_is_served_by_another_backend() {
    for rejects in [true, false] {
        let first = start_backend(move |_| match rejects {
            true => Behavior::Respond(response_text("503 Full\r\nX-Unprocessed: 1", "")),
            false => Behavior::Disconnect,
        });
        let second = start_fixed_backend("served");
        let gateway =
            start_default_gateway(&[("s-1", first.address), ("s-2", second.address)], None);
        let responses: Vec<_> = (0..8)
            .map(|_| send_request(gateway.address, &request("/tile", "")))
            .collect();
        assert!(
            responses
                .iter()
                .all(|a| a.status() == 200 && a.body == b"served"),
            "{responses:?}"
        );
        assert_eq!(second.requests.lock().unwrap().len(), 8);
    }
}

#[test]
fn backend_error_is_not_forwarded_to_the_client() {
    let backend = start_backend(|_| Behavior::Respond(response_text("500 Broken", "a secret")));
    let gateway = start_default_gateway(&[("s-1", backend.address)], None);
    let response = send_request(gateway.address, &request("/tile", ""));
    assert!(
        response.status() != 200 && response.body.is_empty(),
        "{response:?}"
    );
    assert_eq!(backend.requests.lock().unwrap().len(), 3);
}

#[test]
fn malformed_backend_response_is_not_forwarded() {
    let too_long = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx";
    let conflicting_lengths =
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let negative_length = "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nhalf";
    for malformed in [
        too_long,
        conflicting_lengths,
        negative_length,
        "\u{1}\u{2}\r\n\r\n",
        "HTTP/1.1 2 OK\r\n\r\n",
    ] {
        let backend = start_backend(move |n| match n {
            0 => Behavior::RespondAndStall(malformed.into()),
            _ => Behavior::Respond(
                "HTTP/1.1 103 Early\r\n\r\n".to_owned() + &response_text("200 OK", "whole"),
            ),
        });
        let gateway = start_default_gateway(&[("s-1", backend.address)], None);
        let response = send_request(gateway.address, &request("/tile", ""));
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, b"whole".as_slice()),
            "{malformed:?}"
        );
    }
}

/// Large responses were once treated as malformed and the request was repeated at all backends.
#[test]
fn response_larger_than_a_body_buffer_is_forwarded() {
    let large = "x".repeat(400_000);
    let text = response_text("200 OK", &large);
    let backend = start_backend(move |_| Behavior::Respond(text.clone()));
    let (mut config, list_updates) = gateway_config(&[("s-1", backend.address)], None);
    config["limits"]["memory_mb"] = json!(32);
    let gateway = start_gateway(&config, list_updates);
    // The responses exceed the memory limit in total: memory of a forwarded response must be released.
    for _ in 0..40 {
        assert_eq!(
            send_request(gateway.address, &request("/tile", ""))
                .body
                .len(),
            large.len()
        );
    }
    assert_eq!(backend.requests.lock().unwrap().len(), 40);
    // A client that reads late gets the complete response.
    let mut socket = connect(gateway.address);
    socket
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(
        HttpMessage::read(&mut socket).unwrap().body.len(),
        large.len()
    );
}

#[test]
fn bytes_after_a_response_are_not_used_as_another_response() {
    let extra = response_text("200 OK", "another's");
    let backend =
        start_backend(move |n| Behavior::Respond(response_text("200 OK", &n.to_string()) + &extra));
    let gateway = start_default_gateway(&[("s-1", backend.address)], None);
    for n in 0..20 {
        assert_eq!(
            send_request(gateway.address, &request("/tile", "")).body,
            n.to_string().as_bytes()
        );
    }
}

/// A request whose connection took long to open was once written to the backend long after its drain began.
#[test]
fn request_still_connecting_to_a_draining_backend_goes_to_another() {
    let (listener, address) = reserve_address();
    listener.listen(0).unwrap();
    // With a full accept queue, the next connection stays in the connecting state.
    let short = Duration::from_millis(200);
    let queue: Vec<_> = (0..4)
        .map_while(|_| std::net::TcpStream::connect_timeout(&address, short).ok())
        .collect();
    let (mut config, list_updates) = gateway_config(&[("s-1", address)], None);
    config["settings"]["ceilings"]["connect-timeout-ns"] = json!(20_000_000_000u64);
    let (gateway, second) = (
        start_gateway(&config, list_updates),
        start_fixed_backend("2"),
    );
    let mut socket = connect(gateway.address);
    socket
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    std::thread::sleep(Duration::from_millis(300));
    let members = vec![
        member("s-1", address, "leaving"),
        member("s-2", second.address, "active"),
    ];
    gateway.list_updates.send(page(2, true, members)).unwrap();
    while send_request(
        gateway.address,
        &request("/tile", "").replace("9b1f", "0000"),
    )
    .body
        != b"2"
    {}
    let mut written = Vec::new();
    for _ in 0..=queue.len() {
        let (mut accepted, _) = listener.accept().unwrap();
        accepted.set_read_timeout(Some(short)).unwrap();
        accepted.read_to_end(&mut written).ok();
    }
    assert_eq!(HttpMessage::read(&mut socket).unwrap().body, b"2");
    assert!(written.is_empty());
}

#[test]
fn client_disconnect_ends_the_backend_request() {
    let ((arrival, arrived), (ended, hang_ended)) = (channel(), channel());
    let backend = start_backend(move |_| {
        arrival.send(()).unwrap();
        Behavior::Hang(ended.clone())
    });
    let gateway = start_default_gateway(&[("s-1", backend.address)], None);
    let mut socket = connect(gateway.address);
    socket
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    receive(&arrived);
    drop(socket);
    receive(&hang_ended);
}

#[test]
fn silent_backend_is_abandoned_at_the_client_deadline() {
    let (ended, hang_ended) = channel();
    let backend = start_backend(move |_| Behavior::Hang(ended.clone()));
    let gateway = start_default_gateway(&[("s-1", backend.address)], None);
    let response = send_request(
        gateway.address,
        &request("/tile", "").replace("6000", "300"),
    );
    assert!(matches!(response.status(), 429 | 502), "{response:?}");
    receive(&hang_ended);
}

/// Only the backends selected by `serving` accept requests and the others reject them. So the test sees which backends
/// the gateway knows, whichever the module prefers: a first response after 60 ms kept a backend out of 200 requests.
#[test]
fn partial_list_keeps_other_backends_and_draining_backend_gets_no_new_requests() {
    let serving = Arc::new(AtomicUsize::new(0));
    let start_selected = |bit: usize, body: &'static str| {
        let serving = serving.clone();
        start_backend(move |n| {
            std::thread::sleep(Duration::from_millis(if n == 0 { 60 } else { 0 }));
            Behavior::Respond(match serving.load(Ordering::SeqCst) & bit {
                0 => response_text("503 Full\r\nX-Unprocessed: 1", ""),
                _ => response_text("200 OK", body),
            })
        })
    };
    let (first, second, third) = (
        start_selected(1, "1"),
        start_selected(2, "2"),
        start_selected(4, "3"),
    );
    let gateway = start_default_gateway(&[("s-1", first.address), ("s-2", second.address)], None);
    let wait_until_served_by = |selected: usize, body: &str| {
        serving.store(selected, Ordering::SeqCst);
        wait_until(|| send_request(gateway.address, &request("/tile", "")).body == body.as_bytes());
    };
    wait_until_served_by(1, "1");
    wait_until_served_by(2, "2");
    gateway
        .list_updates
        .send(page(2, false, vec![member("s-3", third.address, "active")]))
        .unwrap();
    wait_until_served_by(4, "3");
    wait_until_served_by(2, "2");
    wait_until_served_by(1, "1");
    gateway
        .list_updates
        .send(page(
            3,
            false,
            vec![member("s-1", first.address, "leaving")],
        ))
        .unwrap();
    gateway
        .list_updates
        .send(page(
            4,
            true,
            vec![
                member("s-2", second.address, "active"),
                member("s-1", first.address, "leaving"),
            ],
        ))
        .unwrap();
    // The complete list lacks the third backend. Once neither that backend nor the first gets requests, the gateway has
    // read all updates, because it reads them in order.
    serving.store(1 | 4, Ordering::SeqCst);
    let request_counts = || [&first, &third].map(|b| b.requests.lock().unwrap().len());
    wait_until(|| {
        let before = request_counts();
        (0..40).all(|_| {
            send_request(gateway.address, &request("/tile", ""))
                .body
                .is_empty()
                && request_counts() == before
        })
    });
    wait_until_served_by(2, "2");
}

#[test]
fn name_table_forgets_removed_backends() {
    let mut names = NameTable::new(vec![], vec![]);
    let address = "127.0.0.1:1".parse().unwrap();
    let mut apply_page = |form, complete, members| {
        let page = serde_json::from_value(page(1, complete, members)).unwrap();
        (
            names.to_update(page, form).entries[0].backend_id,
            names.name_count(),
        )
    };
    let (first, _) = apply_page(
        ListUpdate::Replace,
        true,
        vec![member("s-0", address, "active")],
    );
    for n in 0..100 {
        let (before, now) = (format!("s-{n}"), format!("s-{}", n + 1));
        let (backend_id, known_count) = match n % 2 {
            0 => apply_page(
                ListUpdate::Replace,
                true,
                vec![member(&now, address, "active")],
            ),
            _ => apply_page(
                ListUpdate::Update,
                false,
                vec![
                    member(&now, address, "active"),
                    member(&before, address, "left"),
                ],
            ),
        };
        assert!(
            backend_id != first && known_count == 1,
            "{known_count} at {n}"
        );
    }
    assert_eq!(
        apply_page(
            ListUpdate::Replace,
            true,
            vec![member("s-0", address, "active")]
        )
        .0,
        first
    );
}

/// The gateway once waited 21 s for each silent watch, while backends left.
#[test]
fn closed_or_silent_watch_keeps_the_list_and_is_repeated() {
    for failure in [Value::Null, json!("silent")] {
        let (first, second) = (start_fixed_backend("1"), start_fixed_backend("2"));
        let gateway = start_default_gateway(&[("s-1", first.address)], None);
        gateway.list_updates.send(failure).unwrap();
        assert_eq!(
            send_request(gateway.address, &request("/tile", "")).body,
            b"1"
        );
        gateway
            .list_updates
            .send(page(2, true, vec![member("s-2", second.address, "active")]))
            .unwrap();
        let served_by_second = (0..1000).any(|_| {
            std::thread::sleep(Duration::from_millis(10));
            send_request(gateway.address, &request("/tile", "")).body == b"2"
        });
        assert!(served_by_second, "the watch is not repeated");
    }
}

/// With a hundred gateways, a full list and then a subscription made two calls per gateway to a discovery service that
/// all gateways call when they start. When a gateway abandoned its call after one second, the service did that work for
/// nothing.
#[test]
fn subscription_is_one_call_and_waits_for_a_slow_response() {
    let (old, new) = (start_fixed_backend("old"), start_fixed_backend("new"));
    let (mut config, list_updates) = gateway_config(&[], None);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    config["discovery"] = json!(listener.local_addr().unwrap());
    config["known"] = page(41, true, vec![member("s-1", old.address, "active")]);
    config["settings"]["discovery"] = json!("subscribe");
    let (call_sender, calls) = channel();
    let update = page(42, true, vec![member("s-2", new.address, "active")]).to_string();
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let (mut writer, mut reader) =
                (socket.try_clone().unwrap(), std::io::BufReader::new(socket));
            while let Some(call) = HttpMessage::read(&mut reader) {
                call_sender.send(call.start_line).unwrap_or(());
                // The service is slow to respond.
                std::thread::sleep(Duration::from_millis(1500));
                writer
                    .write_all(response_text("200 OK", &update).as_bytes())
                    .unwrap_or(());
            }
        }
    });
    let gateway = start_gateway(&config, list_updates);
    assert_eq!(
        send_request(gateway.address, &request("/tile", "")).body,
        b"old",
        "the gateway starts with the configured list"
    );
    assert!(
        receive(&calls).contains("from=41&"),
        "one call must fetch all changes since the known revision"
    );
    wait_until(|| send_request(gateway.address, &request("/tile", "")).body == b"new");
    assert!(
        receive(&calls).contains("from=42&"),
        "the first call must not be abandoned"
    );
}

/// On one core the gateway once reported itself up before the list of backends came, and it throttled the first
/// invocations.
#[test]
fn gateway_is_not_up_without_a_list_of_backends() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut config, list_updates) = gateway_config(&[], None);
    config["discovery"] = json!(silent.local_addr().unwrap());
    let mut gateway = Gateway {
        address: config["listen"].as_str().unwrap().parse().unwrap(),
        child: spawn_gateway(&config),
        list_updates,
    };
    while std::net::TcpStream::connect(gateway.address).is_err() {
        assert!(gateway.child.try_wait().unwrap().is_none());
    }
    assert_eq!(
        send_request(gateway.address, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status(),
        503
    );
    gateway.signal("-TERM");
    gateway.child.wait().unwrap();
}

#[test]
fn sigterm_ends_the_process_after_accepted_requests_are_answered() {
    let (arrival, arrived) = channel();
    let backend = start_backend(move |n| {
        if n == 0 {
            arrival.send(()).unwrap();
            std::thread::sleep(Duration::from_millis(300));
        }
        Behavior::Respond(response_text("200 OK", "late"))
    });
    let mut gateway = start_default_gateway(&[("s-1", backend.address)], None);
    let (mut in_progress, mut idle) = (connect(gateway.address), connect(gateway.address));
    in_progress
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    receive(&arrived);
    gateway.signal("-TERM");
    let response = HttpMessage::read(&mut in_progress).unwrap();
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    // An idle connection opened before the signal is served or closed.
    idle.get_mut()
        .write_all(request("/tile", "").as_bytes())
        .ok();
    let response = HttpMessage::read(&mut idle);
    assert!(response.is_none_or(|a| a.status() == 200 && a.header("connection") == Some("close")));
    assert!(gateway.child.wait().unwrap().success());
}

/// SIGHUP once ended the gateway, and the invocations in progress were lost.
#[test]
fn reload_changes_discovery_and_counter_and_invalid_reload_changes_nothing() {
    let (first, second) = (start_fixed_backend("1"), start_fixed_backend("2"));
    let (old, _) = start_counter(|_, _| "ok 1\r\n".into());
    let (new, calls) = start_counter(|_, _| "ok 1\r\n".into());
    let (config, list_updates) = gateway_config(&[("s-1", first.address)], Some(old));
    let (mut gateway, path) = start_from_file(&config, list_updates);
    let mut next = config.clone();
    let (_list_updates, updates) = channel();
    next["discovery"] = json!(start_discovery(
        page(1, true, vec![member("s-2", second.address, "active")]),
        updates
    ));
    next["counter"] = json!(new);
    let mut customer = 0xb4d6_5522u32;
    let mut send_until = |done: &dyn Fn(&HttpMessage) -> bool| {
        for _ in 0..2000 {
            customer += 1;
            let response = send_request(
                gateway.address,
                &request("/tile", "").replace("b4d65521", &format!("{customer:08x}")),
            );
            assert_eq!(response.status(), 200);
            if done(&response) {
                return;
            }
        }
        panic!("the reload had no effect");
    };
    let invalid = next
        .to_string()
        .replace("\"overrun-cost\":1.0", "\"overrun-cost\":\"much\"");
    assert_ne!(invalid, next.to_string());
    std::fs::write(&path, invalid).unwrap();
    gateway.signal("-HUP");
    let mut log = std::io::BufReader::new(gateway.child.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains("reload-refused") {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the gateway ended");
    }
    assert!(line.contains("overrun-cost"), "{line}");
    send_until(&|response| response.body == b"1");
    std::fs::write(&path, next.to_string()).unwrap();
    gateway.signal("-HUP");
    send_until(&|response| response.body == b"2");
    send_until(&|_| !calls.lock().unwrap().is_empty());
    assert!(gateway.child.try_wait().unwrap().is_none());
}

#[test]
fn gateway_serves_with_more_connections_than_descriptors() {
    let backend = start_fixed_backend("");
    let mut gateway = start_default_gateway(&[("s-1", backend.address)], None);
    let idle: Vec<_> = (0..400).map(|_| connect(gateway.address)).collect();
    for _ in 0..20 {
        assert_eq!(
            send_request(gateway.address, &request("/tile", "")).status(),
            200
        );
    }
    let fds = std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id()))
        .unwrap()
        .count();
    assert!(fds <= 256, "{fds} descriptors");
    assert!(gateway.child.try_wait().unwrap().is_none());
    drop(idle);
}

/// A gateway killed for exceeding its memory limit loses all invocations in progress.
#[test]
fn memory_limit_holds_with_largest_requests_in_all_slots() {
    let (ended, _hang_ended) = channel();
    let backend = start_backend(move |_| Behavior::Hang(ended.clone()));
    let (mut config, list_updates) = gateway_config(&[("s-1", backend.address)], None);
    config["limits"]["memory_mb"] = json!(32);
    config["settings"]["request-classes"][0]["idempotency"] = json!("dedup");
    let gateway = start_gateway(&config, list_updates);
    let long_headers = format!(
        "X-Long: {}\r\nContent-Length: 65536\r\n",
        "y".repeat(14_000)
    );
    let text = request("/tile", &long_headers).replace("GET", "POST") + &"x".repeat(65_536);
    let mut connections = Vec::new();
    for n in 0..160 {
        let mut socket = connect(gateway.address);
        let text = text.replace("9b1f03aa5c7e2d41", &format!("{n:016x}"));
        socket.get_mut().write_all(text.as_bytes()).ok();
        connections.push(socket);
    }
    assert!(matches!(
        send_request(gateway.address, &request("/tile", "")).status(),
        400 | 503
    ));
    let kb = anon_memory_kb(&gateway);
    assert!((4_000..32_000).contains(&kb), "{kb} kB");
}

#[test]
fn gateway_out_of_descriptors_serves_again_when_some_are_free() {
    let backend = start_fixed_backend("");
    let (config, list_updates) = gateway_config(&[("s-1", backend.address)], None);
    let address = config["listen"].as_str().unwrap().parse().unwrap();
    let mut gateway = wait_until_up(
        &config,
        Gateway {
            address,
            child: spawn_with_limit(&config, 30),
            list_updates,
        },
    );
    let mut connections: Vec<_> = (0..100).map(|_| connect(gateway.address)).collect();
    // Some of the hundred connections are closed for others. The last is served after all earlier ones.
    connections
        .last_mut()
        .unwrap()
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    let response = HttpMessage::read(connections.last_mut().unwrap())
        .expect("the last connection was not served");
    assert!(matches!(response.status(), 200 | 429), "{response:?}");
    drop(connections);
    assert!((0..100).any(|_| send_request(gateway.address, &request("/tile", "")).status() == 200));
    assert!(gateway.child.try_wait().unwrap().is_none());
}

#[test]
fn invalid_configuration_ends_the_process_with_one_line_naming_the_key() {
    type Invalidate = fn(&mut Value);
    let cases: [(&str, Invalidate); 7] = [
        ("listen", |c| c["listen"] = json!("here")),
        ("seed", |c| c["seed"] = json!("xyz")),
        ("counter", |c| {
            c["settings"]["domain"]["has-counter"] = json!(true)
        }),
        ("limits.sockets", |c| c["limits"]["sockets"] = json!(10)),
        ("settings.ceilings.conn-idle-ns", |c| {
            c["settings"]["ceilings"]["conn-idle-ns"] = json!(0)
        }),
        ("settings.plans[0].quota-rate", |c| {
            c["settings"]["plans"][0]["quota-rate"] = json!("much")
        }),
        ("settings.request-classes[0]", |c| {
            c["settings"]["request-classes"][0]["name"] = json!("")
        }),
    ];
    for (key, invalidate) in cases {
        let (mut config, _list_updates) = gateway_config(&[], None);
        invalidate(&mut config);
        let output = spawn_gateway(&config).wait_with_output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && text.lines().count() == 1 && text.contains(key),
            "{key}: {text}"
        );
    }
}

#[test]
fn request_is_complete_with_the_last_byte_of_its_body() {
    let text = b"POST / HTTP/1.1\r\na: b\r\n\r\nbody\r\n\r\n";
    for cut in 0..=text.len() {
        let meter = WriteMeter::default();
        meter.start_request(8);
        assert!(!meter.is_complete());
        meter.record_written(&text[..cut]);
        assert_eq!(meter.is_complete(), cut == text.len(), "{cut}");
        meter.record_written(&text[cut..]);
        assert!(meter.is_complete());
    }
}

#[test]
fn log_site_is_limited_to_10_lines_per_second() {
    let (site, start) = (RateLimitedSite::new(), Instant::now());
    let passed = (0..100).filter(|_| site.admit(start).is_some()).count();
    assert!((1..=10).contains(&passed));
    assert_eq!(
        site.admit(start + Duration::from_secs(1)),
        Some(100 - passed as u32)
    );
}

/// A gateway serves with a migrated configuration, and after a rollback with the old one.
#[test]
fn gateway_serves_with_migrated_configuration_and_again_with_the_old_one() {
    let backend = start_fixed_backend("here");
    let (counter, calls) = start_counter(|_, _| "ok 1\r\n".into());
    let (old, list_updates) = gateway_config(&[("s-1", backend.address)], Some(counter));
    let mut shape = old.clone();
    shape["settings"]["plans"] = json!([{"name": "basic", "max-out": 2, "overrun-cost": 0.6}]);
    shape["settings"]["domain"]["settles"] = json!(true);
    let migrated = damsonbeam_migrate::migrate(&old.to_string(), &shape.to_string()).unwrap();
    assert!(migrated.notes.iter().any(|n| n.contains("settings.plans")));
    let new: Value = serde_json::from_str(&migrated.text).unwrap();
    for config in [&new, &old] {
        let gateway = start_gateway(config, list_updates.clone());
        assert_eq!(
            send_request(gateway.address, &request("/tile", "")).status(),
            200
        );
    }
    assert!(
        !calls.lock().unwrap().is_empty(),
        "the counter must be called"
    );
}
