//! Bodies and answers that do not fit in memory.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::stand_ins::*;

const LARGE: usize = 8 << 20;
const BODY: usize = 64 << 10;

/// A body whose every byte tells its place.
fn body(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n / 251 + n % 251) as u8).collect()
}

/// A server that hands each connection, after its request's head, to `does`, with how many came before.
fn raw(
    does: impl Fn(usize, Message, BufReader<TcpStream>) + Send + Sync + 'static,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (at, does, heads) = (
        listener.local_addr().unwrap(),
        Arc::new(does),
        Arc::<AtomicUsize>::default(),
    );
    let seen = heads.clone();
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let (does, seen) = (does.clone(), seen.clone());
            thread::spawn(move || {
                let mut from = BufReader::new(socket);
                if let Some(head) = Message::head(&mut from) {
                    does(seen.fetch_add(1, Ordering::SeqCst), head, from);
                }
            });
        }
    });
    (at, heads)
}

fn tokened(members: &[(&str, SocketAddr)], memory_mb: u64) -> Gateway {
    let (mut config, list) = config(members, None);
    config["limits"]["memory_mb"] = json!(memory_mb);
    config["settings"]["request-classes"][0]["idempotency"] = json!("dedup");
    config["settings"]["request-classes"][0]["group"] = json!("all");
    config["settings"]["request-classes"][0]["window-ns"] = json!(60_000_000_000u64);
    start(&config, list)
}

fn post(n: usize, length: usize) -> String {
    let text = request("/tile", &format!("Content-Length: {length}\r\n")).replace("GET", "POST");
    text.replace("9b1f03aa5c7e2d41", &format!("{n:016x}"))
}

#[test]
fn large_bodies_and_answers_go_through_unchanged_in_little_memory() {
    let (at, _) = raw(|_, head, mut from| {
        let mut got = vec![0; head.header("content-length").unwrap().parse().unwrap()];
        from.read_exact(&mut got).unwrap();
        // The answer is the body, in uneven chunks.
        from.get_mut()
            .write_all(
                b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
            )
            .unwrap();
        for part in got.chunks(100_003) {
            write!(from.get_mut(), "{:x}\r\n", part.len()).unwrap();
            from.get_mut().write_all(part).unwrap();
            from.get_mut().write_all(b"\r\n").unwrap();
        }
        from.get_mut().write_all(b"0\r\n\r\n").unwrap();
        from.read_exact(&mut [0]).ok();
    });
    let gateway = tokened(&[("s-1", at), ("s-2", at)], 48);
    let all: Vec<_> = (0..10)
        .map(|n| {
            let at = gateway.at;
            thread::spawn(move || {
                let (mut socket, sent) = (connect(at), body(LARGE));
                socket
                    .get_mut()
                    .write_all(post(n, LARGE).as_bytes())
                    .unwrap();
                socket.get_mut().write_all(&sent).unwrap();
                let answer = Message::read(&mut socket).expect("the answer is cut");
                assert_eq!(answer.status(), 200);
                assert!(answer.body == sent, "the answer is not the body");
            })
        })
        .collect();
    let mut most = 0;
    while all.iter().any(|t| !t.is_finished()) {
        most = most.max(rss_kb(&gateway));
        thread::sleep(Duration::from_millis(5));
    }
    all.into_iter().for_each(|t| t.join().unwrap());
    assert!(
        (1..32 << 10).contains(&most),
        "{most} kB for 80 MB each way"
    );
}

#[test]
fn a_body_that_was_partly_sent_goes_to_no_other_backend() {
    let (at, heads) = raw(|_, _, mut from| {
        // More than the gateway holds; then it breaks.
        from.read_exact(&mut vec![0; 1 << 20]).unwrap();
    });
    let other = serves("other");
    let gateway = tokened(&[("s-1", at)], 192);
    gateway
        .list
        .send(page(2, true, vec![member("s-1", at, "active")]))
        .unwrap();
    let mut socket = connect(gateway.at);
    socket
        .get_mut()
        .write_all(post(1, LARGE).as_bytes())
        .unwrap();
    gateway
        .list
        .send(page(
            3,
            true,
            vec![
                member("s-1", at, "active"),
                member("s-2", other.at, "active"),
            ],
        ))
        .unwrap();
    socket.get_mut().write_all(&body(LARGE)).ok();
    // Its last byte never was written: it did not run, and trying again is harmless.
    assert_eq!(
        Message::read(&mut socket)
            .expect("it gets its answer")
            .status(),
        429
    );
    assert_eq!(
        (
            heads.load(Ordering::SeqCst),
            other.got.lock().unwrap().len()
        ),
        (1, 0)
    );
}

#[test]
fn a_body_of_which_nothing_was_sent_goes_to_another_backend() {
    let (_refuses, none) = unheard();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let seen = sent.clone();
    let (at, _) = raw(move |_, head, mut from| {
        let mut got = vec![0; head.header("content-length").unwrap().parse().unwrap()];
        from.read_exact(&mut got).unwrap();
        *seen.lock().unwrap() = got;
        from.get_mut()
            .write_all(answer("200 OK\r\nConnection: close", "took it").as_bytes())
            .unwrap();
    });
    let gateway = tokened(&[("s-1", none), ("s-2", at)], 192);
    for n in 0..4 {
        let mut socket = connect(gateway.at);
        socket
            .get_mut()
            .write_all(post(n, LARGE).as_bytes())
            .unwrap();
        socket.get_mut().write_all(&body(LARGE)).unwrap();
        assert_eq!(Message::read(&mut socket).unwrap().body, b"took it");
        assert!(
            *sent.lock().unwrap() == body(LARGE),
            "not the body that was sent"
        );
    }
}

#[test]
fn an_answer_that_breaks_midway_is_cut_so_that_the_client_can_tell() {
    for head in ["Content-Length: 1000000", "Transfer-Encoding: chunked"] {
        let (at, heads) = raw(move |_, _, mut from| {
            let part = vec![b'x'; 200_000];
            write!(from.get_mut(), "HTTP/1.1 200 OK\r\n{head}\r\n\r\n").unwrap();
            if head.starts_with('T') {
                write!(from.get_mut(), "{:x}\r\n", part.len()).unwrap();
            }
            from.get_mut().write_all(&part).unwrap();
        });
        let gateway = gateway(&[("s-1", at)], None);
        let mut socket = connect(gateway.at);
        socket
            .get_mut()
            .write_all(request("/tile", "").as_bytes())
            .unwrap();
        let answer = Message::head(&mut socket).expect("it has begun");
        assert_eq!(answer.status(), 200);
        let mut rest = Vec::new();
        socket.read_to_end(&mut rest).ok();
        assert!(
            rest.len() < 1_000_000 && !rest.ends_with(b"0\r\n\r\n"),
            "{head}: it looks whole"
        );
        assert_eq!(
            heads.load(Ordering::SeqCst),
            1,
            "an answer begun can't begin anew"
        );
    }
}

#[test]
fn an_answer_that_the_connections_close_ends_is_whole_and_one_that_a_reset_ends_is_not() {
    for (length, resets) in [(10, false), (300_000, false), (10, true), (300_000, true)] {
        let (at, _) = raw(move |n, _, mut from| {
            from.get_mut()
                .write_all(b"HTTP/1.1 200 OK\r\n\r\n")
                .unwrap();
            from.get_mut().write_all(&body(length)).unwrap();
            if resets && n == 0 {
                // Once the bytes are through, for a reset overtakes what waits.
                thread::sleep(Duration::from_millis(20));
                socket2::SockRef::from(from.get_ref())
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
            }
        });
        let gateway = gateway(&[("s-1", at)], None);
        let mut socket = connect(gateway.at);
        socket
            .get_mut()
            .write_all(request("/tile", "").as_bytes())
            .unwrap();
        let answer = Message::read(&mut socket);
        if resets && length > BODY {
            assert!(answer.is_none(), "begun and broken, it is cut");
        } else {
            assert!(
                answer.is_some_and(|a| a.status() == 200 && a.body == body(length)),
                "{length} {resets}"
            );
        }
    }
}

#[test]
fn a_long_answer_that_comes_slowly_begins_before_its_clients_time_is_up() {
    let (at, _) = raw(|_, _, mut from| {
        from.get_mut()
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .unwrap();
        for _ in 0..25 {
            thread::sleep(Duration::from_millis(100));
            if from
                .get_mut()
                .write_all(format!("1000\r\n{}\r\n", "x".repeat(0x1000)).as_bytes())
                .is_err()
            {
                return;
            }
        }
        from.get_mut().write_all(b"0\r\n\r\n").unwrap();
    });
    let gateway = gateway(&[("s-1", at)], None);
    let mut socket = connect(gateway.at);
    let text = request("/tile", "").replace("Left-Ms: 6000", "Left-Ms: 1000");
    socket.get_mut().write_all(text.as_bytes()).unwrap();
    let answer = Message::read(&mut socket).expect("it is cut");
    assert_eq!((answer.status(), answer.body.len()), (200, 25 * 0x1000));
}

#[test]
fn a_slow_client_is_waited_for_and_a_silent_one_is_not() {
    let (at, _) = raw(|_, head, mut from| {
        let mut got = vec![0; head.header("content-length").unwrap().parse().unwrap()];
        from.read_exact(&mut got).unwrap();
        from.get_mut()
            .write_all(answer("200 OK\r\nConnection: close", "took it").as_bytes())
            .unwrap();
    });
    let gateway = tokened(&[("s-1", at)], 192);
    let slow = gateway.at;
    let slow = thread::spawn(move || {
        let mut socket = connect(slow);
        // Its time is counted from its last byte: a body of 3 s does not use up a time of 1 s.
        let text = post(1, 192 << 10).replace("Left-Ms: 6000", "Left-Ms: 1000");
        for part in text.as_bytes().chunks(text.len() / 4 + 1) {
            socket.get_mut().write_all(part).unwrap();
            thread::sleep(Duration::from_millis(450));
        }
        for part in body(192 << 10).chunks(16 << 10) {
            socket.get_mut().write_all(part).unwrap();
            thread::sleep(Duration::from_millis(250));
        }
        Message::read(&mut socket)
    });
    let (began, mut silent) = (Instant::now(), connect(gateway.at));
    silent
        .get_mut()
        .write_all(post(2, LARGE).as_bytes())
        .unwrap();
    silent.get_mut().write_all(&body(1 << 20)).unwrap();
    let answer = Message::read(&mut silent);
    assert!(answer.is_none_or(|a| a.status() != 200));
    assert!(
        began.elapsed() < Duration::from_secs(6),
        "a silent client holds its place"
    );
    assert_eq!(
        slow.join().unwrap().expect("the slow one is lost").status(),
        200
    );
}

#[test]
fn a_backend_is_read_no_faster_than_the_client_reads() {
    let (wrote, written) = channel();
    let (at, _) = raw(move |_, _, mut from| {
        write!(
            from.get_mut(),
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            32 << 20
        )
        .unwrap();
        for _ in 0..32 {
            from.get_mut().write_all(&vec![b'x'; 1 << 20]).unwrap();
            wrote.send(()).ok();
        }
    });
    let gateway = gateway(&[("s-1", at)], None);
    let mut socket = connect(gateway.at);
    socket
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    Message::head(&mut socket).unwrap();
    thread::sleep(Duration::from_secs(1));
    let early = written.try_iter().count();
    assert!(
        early < 24,
        "{early} MB were read for a client that reads nothing"
    );
    // It goes on where the client does.
    let mut rest = vec![0; 32 << 20];
    socket.read_exact(&mut rest).unwrap();
    assert!(rest.iter().all(|b| *b == b'x'));
}

/// The table in docs/results/bodies: memory against bodies at once and their size. Long, and no verdict:
/// `cargo test -p damsonbeam-cli --test sockets -- --ignored --nocapture memory_by_bodies`.
#[test]
#[ignore = "a measurement"]
fn memory_by_bodies() {
    println!("bodies,mb_each,way,answered,rss_kb_before,rss_kb_most,seconds");
    for (count, mb) in [(1, 32), (8, 32), (32, 8), (32, 32), (96, 4), (96, 32)] {
        for up in [true, false] {
            let (at, _) = raw(move |_, head, mut from| {
                if up {
                    let mut left: u64 = head.header("content-length").unwrap().parse().unwrap();
                    let mut part = vec![0; 1 << 16];
                    while left > 0 {
                        match from.read(&mut part) {
                            Ok(n @ 1..) => left -= n as u64,
                            _ => return,
                        }
                    }
                    from.get_mut()
                        .write_all(answer("200 OK\r\nConnection: close", "took it").as_bytes())
                        .ok();
                } else {
                    write!(
                        from.get_mut(),
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                        mb << 20
                    )
                    .unwrap();
                    for _ in 0..mb * 16 {
                        if from.get_mut().write_all(&[b'x'; 1 << 16]).is_err() {
                            return;
                        }
                    }
                }
            });
            let names: Vec<String> = (0..24).map(|n| format!("s-{n}")).collect();
            let members: Vec<_> = names.iter().map(|n| (n.as_str(), at)).collect();
            let gateway = if up {
                tokened(&members, 192)
            } else {
                crate::stand_ins::gateway(&members, None)
            };
            let (before, began) = (rss_kb(&gateway), Instant::now());
            let one = move |at, n| {
                let mut socket = connect(at);
                let text = if up {
                    post(n, mb << 20)
                } else {
                    request("/tile", "")
                };
                let text = text.replace("9b1f03aa5c7e2d41", &format!("{n:016x}"));
                socket.get_mut().write_all(text.as_bytes()).unwrap();
                for _ in 0..if up { mb * 16 } else { 0 } {
                    socket.get_mut().write_all(&[b'x'; 1 << 16]).ok();
                }
                let answer = Message::head(&mut socket);
                let whole = std::io::copy(&mut socket, &mut std::io::sink());
                answer.is_some_and(|a| a.status() == 200)
                    && (up || whole.is_ok_and(|n| n == mb as u64 * (1 << 20)))
            };
            let all: Vec<_> = (0..count)
                .map(|n| (gateway.at, n))
                .map(|(at, n)| thread::spawn(move || one(at, n)))
                .collect();
            let mut most = before;
            while all.iter().any(|t| !t.is_finished()) {
                most = most.max(rss_kb(&gateway));
                thread::sleep(Duration::from_millis(2));
            }
            let answered = all
                .into_iter()
                .map(|t| t.join().unwrap())
                .filter(|w| *w)
                .count();
            let (way, seconds) = (
                if up { "up" } else { "down" },
                began.elapsed().as_secs_f64(),
            );
            println!("{count},{mb},{way},{answered},{before},{most},{seconds:.1}");
        }
    }
}
