//! The gateway's program against stand-ins on loopback.

mod bodies;
mod operators;
mod stand_ins;
mod upgrade;

use std::io::{BufRead, Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use damsonbeam::interface::ListForm;
use damsonbeam_gateway::backend_list::NameTable;
use damsonbeam_gateway::log::Site;
use damsonbeam_gateway::request_heads::HeadScanner;
use damsonbeam_gateway::write_meter::WriteMeter;
use serde_json::{Value, json};
use stand_ins::*;

#[test]
fn an_invocation_goes_on_unchanged_and_its_answer_comes_back_whole() {
    let backend = serves("the tile");
    let (mut config, list) = config(&[("s-1", backend.at)], None);
    config["settings"]["request-classes"][0]["idempotency"] = json!("dedup");
    let gateway = start(&config, list);
    let post = "POST /tile/7/3?x=1&y=%20 HTTP/1.1";
    let text = request("/", "Content-Length: 4\r\nConnection: x-correlation-id\r\n");
    let text = text.replace("GET / HTTP/1.1", post) + "body";
    let mut socket = connect(gateway.at);
    for n in 0..3 {
        socket.get_mut().write_all(text.as_bytes()).unwrap();
        let answer = Message::read(&mut socket).unwrap();
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, b"the tile".as_slice())
        );
        let got = backend.got.lock().unwrap()[n].clone();
        assert_eq!(
            (got.first.as_str(), got.body.as_slice()),
            (post, b"body".as_slice())
        );
        assert_eq!(got.header("x-correlation-id"), Some("9b1f03aa5c7e2d41"));
        assert!(
            got.header("x-time-left-ms")
                .unwrap()
                .parse::<u64>()
                .unwrap()
                <= 6000
        );
    }
}

#[test]
fn what_is_malformed_or_too_large_reaches_no_backend() {
    let backend = serves("");
    let (mut config, list) = config(&[("s-1", backend.at)], None);
    let mut class = config["settings"]["request-classes"][0].clone();
    (class["name"], class["idempotency"]) = (json!("mark"), json!("fragile"));
    config["settings"]["request-classes"]
        .as_array_mut()
        .unwrap()
        .push(class);
    let gateway = start(&config, list);
    let whole = request("/tile", "");
    let both = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    let turned = "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n";
    let named = format!(
        "X-Tariff: basic\r\n{}",
        "X-Correlation-Id: 9b1f03aa5c7e2d41"
    );
    for (from, to) in [
        ("/tile", "/other"),
        ("/tile", "//tile"),
        ("/tile", "http://other/tile"),
        ("GET", "POST"),
        ("GET /tile", "GET /mark"),
        ("X-Correlation-Id: 9b1f03aa5c7e2d41", "X-Other: 1"),
        ("X-Tariff: basic", &named),
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
        assert!(whole.contains(from));
        let mut text = whole.replace(from, to);
        if to == "POST /mark" {
            // A body's length given in both ways, either first: a second request may hide in it.
            for framing in [both, turned] {
                let text = text.replace("\r\n\r\n", &format!("\r\n{framing}\r\n"));
                assert_eq!(ask(gateway.at, &text).status(), 400, "{framing}");
            }
            text = text.replace("POST", "GET");
        }
        assert_eq!(ask(gateway.at, &text).status(), 400, "{to}");
    }
    let body = whole.replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx");
    assert_eq!(ask(gateway.at, &body).status(), 400);
    let post = |extra| request("/mark", extra).replace("GET", "POST");
    assert_eq!(
        ask(gateway.at, &post("Content-Length: 33554433\r\n")).status(),
        413
    );
    assert!(backend.got.lock().unwrap().is_empty());
    assert_eq!(ask(gateway.at, &whole).status(), 200);
    let chunked = post("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n\r\n";
    assert_eq!(ask(gateway.at, &chunked).status(), 200);
}

#[test]
fn a_head_with_a_length_given_in_both_ways_is_seen_wherever_it_stands() {
    let two = "\r\nPOST /a HTTP/1.1\r\nContent-Length: 30\r\n\r\ntransfer-encoding: chunked\r\n\r\n\
               POST /b HTTP/1.1\r\nX: content-length: 1\r\nTransfer-Encoding: chunked\r\n";
    let long = format!("X-Long: {}\r\n", "y".repeat(300));
    for (extra, both) in [("", false), ("CONTENT-LENGTH: 7\r\n", true)] {
        let text = format!("{two}{long}{extra}\r\n");
        for step in 1..40 {
            let mut heads = HeadScanner::default();
            text.as_bytes()
                .chunks(step)
                .for_each(|part| heads.scan(part));
            assert_eq!(heads.has_conflicting_length(), both, "{extra} by {step}");
        }
    }
}

#[test]
fn the_name_of_an_open_invocation_is_taken() {
    let (backend, told, go) = holds(0, |_| Does::Answers(answer("200 OK", "mine")));
    let gateway = gateway(&[("s-1", backend.at)], None);
    let mut socket = connect(gateway.at);
    socket
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    wait(&told);
    assert_eq!(ask(gateway.at, &request("/tile", "")).status(), 409);
    drop(go);
    assert_eq!(Message::read(&mut socket).unwrap().body, b"mine");
    assert_eq!(ask(gateway.at, &request("/tile", "")).status(), 200);
}

/// Failure found on a day when clients asked once and held on: while theirs stood idle the next could not ask.
/// The cure then, an end with every answer where connections are many, cost a connection an invocation (issue
/// 23): now one that is idle goes once somebody stands outside.
#[test]
fn connections_held_on_to_keep_nobody_out_and_none_ends_while_there_is_room() {
    let backend = serves("");
    let gateway = gateway(&[("s-1", backend.at)], None);
    let mut held = Vec::new();
    for n in 0..300 {
        let mut socket = connect(gateway.at);
        socket
            .get_mut()
            .write_all(request("/tile", "").as_bytes())
            .unwrap();
        let answer = Message::read(&mut socket).expect("kept out");
        assert_eq!(answer.status(), 200);
        assert!(
            n > 100 || answer.header("connection").is_none(),
            "there is room after {n}"
        );
        held.push(socket);
    }
}

/// A newcomer at a full door was the first to go for the next one, before its request was read.
#[test]
fn who_has_just_come_is_not_closed_for_the_next() {
    let backend = serves("");
    let gateway = gateway(&[("s-1", backend.at)], None);
    let mut held = Vec::new();
    for _ in 0..200 {
        let mut socket = connect(gateway.at);
        socket
            .get_mut()
            .write_all(request("/tile", "").as_bytes())
            .unwrap();
        assert_eq!(Message::read(&mut socket).expect("kept out").status(), 200);
        held.push(socket);
    }
    // All places are held by quiet clients. Of two that come the first asks once the second is there, in less
    // time than a silent one is let go in; a busy machine may oversleep it, ten times running it does not.
    let pause = || std::thread::sleep(Duration::from_millis(5));
    let both_answered = |n: u32| {
        let mut come = Vec::new();
        for _ in 0..2 {
            come.push(connect(gateway.at));
            pause();
        }
        let mut asks = |i: usize| {
            let name = format!("{:016x}", 2 * n + i as u32);
            let text = request("/tile", "").replace("9b1f03aa5c7e2d41", &name);
            come[i].get_mut().write_all(text.as_bytes()).ok();
            Message::read(&mut come[i]).is_some_and(|a| a.status() == 200)
        };
        asks(0) && asks(1)
    };
    assert!((0..10).any(both_answered), "closed unanswered");
}

/// None of these gives the gateway an end to wait for; each would hold its place for good.
#[test]
fn a_client_that_says_nothing_or_never_ends_is_let_go() {
    let backend = serves("");
    let gateway = gateway(&[("s-1", backend.at)], None);
    let half = request("/tile", "").replace("\r\n\r\n", "\r\nX-More: ");
    let body = request("/tile", "Content-Length: 9\r\n") + "x";
    let mut sockets = Vec::new();
    for text in ["", "GET", half.as_str(), body.as_str()] {
        for again in [false, true] {
            let mut socket = connect(gateway.at);
            if again {
                socket
                    .get_mut()
                    .write_all(request("/tile", "").as_bytes())
                    .unwrap();
                assert_eq!(Message::read(&mut socket).unwrap().status(), 200);
            }
            socket.get_mut().write_all(text.as_bytes()).unwrap();
            sockets.push(socket);
        }
    }
    for mut socket in sockets {
        let mut rest = Vec::new();
        let ended = socket.read_to_end(&mut rest);
        let hung = |e: &std::io::Error| e.kind() == std::io::ErrorKind::WouldBlock;
        assert!(!ended.is_err_and(|e| hung(&e)), "it stays open");
        assert!(rest.is_empty() || rest.starts_with(b"HTTP/1.1 4"));
    }
}

#[test]
fn connections_that_say_nothing_push_out_no_usual_client() {
    let backend = serves("");
    let gateway = gateway(&[("s-1", backend.at)], None);
    let mut usual: Vec<_> = (0..20).map(|_| connect(gateway.at)).collect();
    for _ in 0..3 {
        for socket in &mut usual {
            socket
                .get_mut()
                .write_all(request("/tile", "").as_bytes())
                .unwrap();
            assert_eq!(Message::read(socket).expect("pushed out").status(), 200);
        }
        let silent: Vec<_> = (0..300).map(|_| connect(gateway.at)).collect();
        assert_eq!(ask(gateway.at, &request("/tile", "")).status(), 200);
        drop(silent);
    }
}

#[test]
fn a_full_count_throttles_and_the_add_is_undone() {
    let (counter, calls) = counter(|_, _| "ok 5e6\r\n".into());
    let backend = serves("");
    let gateway = gateway(&[("s-1", backend.at)], Some(counter));
    let answer = ask(gateway.at, &request("/tile", ""));
    assert_eq!(answer.status(), 429);
    assert!(
        answer
            .header("retry-after")
            .unwrap()
            .parse::<f64>()
            .unwrap()
            > 0.0
    );
    assert!(backend.got.lock().unwrap().is_empty());
    // The next one, too, comes after what it undid.
    ask(
        gateway.at,
        &request("/tile", "").replace("b4d65521", "b4d65522"),
    );
    let calls = calls.lock().unwrap().clone();
    let sum = |name: &str| -> f64 {
        let of = calls.iter().filter(|c| c.contains(name));
        of.map(|c| c.split(' ').nth(2).unwrap().parse::<f64>().unwrap())
            .sum()
    };
    assert_eq!(sum("b4d65521"), 0.0, "{calls:?}");
}

#[test]
fn a_late_answer_of_the_counter_is_not_taken_for_the_next_ones() {
    // The first call is answered when its time is over: that its total is full is of no one else.
    let (counter, calls) = counter(|n, _| match n {
        0 => {
            std::thread::sleep(Duration::from_millis(60));
            "ok 5e6\r\n".into()
        }
        _ => "ok 2\r\n".into(),
    });
    let backend = serves("");
    let (mut config, list) = config(&[("s-1", backend.at)], Some(counter));
    config["settings"]["domain"]["counter-timeout-ns"] = json!(30_000_000);
    let gateway = start(&config, list);
    assert_eq!(ask(gateway.at, &request("/tile", "")).status(), 200);
    for n in 2..100 {
        let customer = format!("{:08x}", 0xb4d6_5521u32 + n);
        assert_eq!(
            ask(
                gateway.at,
                &request("/tile", "").replace("b4d65521", &customer)
            )
            .status(),
            200
        );
        if calls.lock().unwrap().len() > 3 {
            return;
        }
    }
    panic!("the counter is no longer asked");
}

#[test]
fn noise_of_the_counter_without_an_end_holds_no_call() {
    for noise in ["\u{1}\u{2}", "ok 1x", "oh", "HTTP/1.1 200 OK"] {
        let (counter, calls) = counter(move |n, _| {
            if n == 0 {
                noise.into()
            } else {
                "ok 2\r\n".into()
            }
        });
        let backend = serves("");
        let (mut config, list) = config(&[("s-1", backend.at)], Some(counter));
        // Waiting for it, the invocation would run out of its client's time.
        config["settings"]["domain"]["counter-timeout-ns"] = json!(60_000_000_000u64);
        let gateway = start(&config, list);
        assert_eq!(
            ask(gateway.at, &request("/tile", "")).status(),
            200,
            "{noise:?}"
        );
        assert_eq!(calls.lock().unwrap().len(), 1);
    }
}

#[test]
fn a_counter_that_refuses_is_asked_again_when_it_is_back() {
    let (backend, (held, at)) = (serves(""), unheard());
    let gateway = gateway(&[("s-1", backend.at)], Some(at));
    assert_eq!(ask(gateway.at, &request("/tile", "")).status(), 200);
    held.listen(8).unwrap();
    let asked = std::thread::spawn(move || {
        let mut line = [0; 6];
        held.accept().unwrap().0.read_exact(&mut line).unwrap();
        line
    });
    for n in 0..2000 {
        let customer = format!("{:08x}", 0xb4d6_5521u32 + n);
        assert_eq!(
            ask(
                gateway.at,
                &request("/tile", "").replace("b4d65521", &customer)
            )
            .status(),
            200
        );
        if asked.is_finished() {
            assert_eq!(&asked.join().unwrap(), b"tally ");
            return;
        }
    }
    panic!("the counter is not asked again");
}

#[test]
fn a_counter_that_falls_silent_is_asked_anew() {
    let (backend, silent) = (
        serves(""),
        std::net::TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    let (mut config, list) = config(&[("s-1", backend.at)], Some(silent.local_addr().unwrap()));
    config["settings"]["domain"]["counter-timeout-ns"] = json!(30_000_000);
    let gateway = start(&config, list);
    // The first connection stays open and says nothing. Failure found on a day when such were many: each
    // held all calls of a second, and as many verdicts were guesses.
    let asked = std::thread::spawn(move || [silent.accept().unwrap(), silent.accept().unwrap()]);
    for n in 0..2000 {
        let customer = format!("{:08x}", 0xb4d6_5521u32 + n);
        assert_eq!(
            ask(
                gateway.at,
                &request("/tile", "").replace("b4d65521", &customer)
            )
            .status(),
            200
        );
        if asked.is_finished() {
            let [(mut first, _), _] = asked.join().unwrap();
            let mut calls = String::new();
            first.read_to_string(&mut calls).unwrap();
            assert_eq!(calls.lines().count(), 1, "{calls}");
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("the silent connection is kept");
}

#[test]
fn another_backend_serves_what_one_turns_away_or_breaks() {
    for turns_away in [true, false] {
        let first = backend(move |_| match turns_away {
            true => Does::Answers(answer("503 Full\r\nX-Unprocessed: 1", "")),
            false => Does::Breaks,
        });
        let second = serves("served");
        let gateway = gateway(&[("s-1", first.at), ("s-2", second.at)], None);
        let answers: Vec<_> = (0..8)
            .map(|_| ask(gateway.at, &request("/tile", "")))
            .collect();
        assert!(
            answers
                .iter()
                .all(|a| a.status() == 200 && a.body == b"served"),
            "{answers:?}"
        );
        assert_eq!(second.got.lock().unwrap().len(), 8);
    }
}

#[test]
fn an_error_of_a_backend_is_never_passed_on_as_its_answer() {
    let backend = backend(|_| Does::Answers(answer("500 Broken", "a secret")));
    let gateway = gateway(&[("s-1", backend.at)], None);
    let answer = ask(gateway.at, &request("/tile", ""));
    assert!(
        answer.status() != 200 && answer.body.is_empty(),
        "{answer:?}"
    );
    assert_eq!(backend.got.lock().unwrap().len(), 3);
}

#[test]
fn a_spoilt_answer_is_never_passed_on() {
    let long = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx";
    let two = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let minus = "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nhalf";
    for spoilt in [
        long,
        two,
        minus,
        "\u{1}\u{2}\r\n\r\n",
        "HTTP/1.1 2 OK\r\n\r\n",
    ] {
        let backend = backend(move |n| match n {
            0 => Does::Says(spoilt.into()),
            _ => {
                Does::Answers("HTTP/1.1 103 Early\r\n\r\n".to_owned() + &answer("200 OK", "whole"))
            }
        });
        let gateway = gateway(&[("s-1", backend.at)], None);
        let answer = ask(gateway.at, &request("/tile", ""));
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, b"whole".as_slice()),
            "{spoilt:?}"
        );
    }
}

/// Failure found on a day of large answers: each was taken for spoilt and asked for again, at all backends.
#[test]
fn an_answer_larger_than_a_body_goes_on_while_there_is_room() {
    let large = "x".repeat(400_000);
    let text = answer("200 OK", &large);
    let backend = backend(move |_| Does::Answers(text.clone()));
    let (mut config, list) = config(&[("s-1", backend.at)], None);
    config["limits"]["memory_mb"] = json!(32);
    let gateway = start(&config, list);
    // More in all than fits at once: what was passed on gives its room back.
    for _ in 0..40 {
        assert_eq!(
            ask(gateway.at, &request("/tile", "")).body.len(),
            large.len()
        );
    }
    assert_eq!(backend.got.lock().unwrap().len(), 40);
    // A client that reads late, but reads, gets all of it.
    let mut socket = connect(gateway.at);
    socket
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(Message::read(&mut socket).unwrap().body.len(), large.len());
}

#[test]
fn what_comes_behind_an_answer_is_nobodys_answer() {
    let of_another = answer("200 OK", "another's");
    let backend = backend(move |n| Does::Answers(answer("200 OK", &n.to_string()) + &of_another));
    let gateway = gateway(&[("s-1", backend.at)], None);
    for n in 0..20 {
        assert_eq!(
            ask(gateway.at, &request("/tile", "")).body,
            n.to_string().as_bytes()
        );
    }
}

/// Seen in the source: a connection that took long was written to long after its backend began to drain.
#[test]
fn what_still_connects_when_a_backend_drains_goes_elsewhere() {
    let (full, at) = unheard();
    full.listen(0).unwrap();
    // With its queue full, the next connection waits to come up.
    let short = Duration::from_millis(200);
    let queue: Vec<_> = (0..4)
        .map_while(|_| std::net::TcpStream::connect_timeout(&at, short).ok())
        .collect();
    let (mut config, list) = config(&[("s-1", at)], None);
    config["settings"]["ceilings"]["connect-timeout-ns"] = json!(20_000_000_000u64);
    let (gateway, second) = (start(&config, list), serves("2"));
    let mut socket = connect(gateway.at);
    socket
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    std::thread::sleep(Duration::from_millis(300));
    let members = vec![
        member("s-1", at, "leaving"),
        member("s-2", second.at, "active"),
    ];
    gateway.list.send(page(2, true, members)).unwrap();
    while ask(gateway.at, &request("/tile", "").replace("9b1f", "0000")).body != b"2" {}
    let mut written = Vec::new();
    for _ in 0..=queue.len() {
        let (mut taken, _) = full.accept().unwrap();
        taken.set_read_timeout(Some(short)).unwrap();
        taken.read_to_end(&mut written).ok();
    }
    assert_eq!(Message::read(&mut socket).unwrap().body, b"2");
    assert!(written.is_empty());
}

#[test]
fn a_hang_up_ends_the_delivery() {
    let ((asked, told), (ended, over)) = (channel(), channel());
    let backend = backend(move |_| {
        asked.send(()).unwrap();
        Does::Hangs(ended.clone())
    });
    let gateway = gateway(&[("s-1", backend.at)], None);
    let mut socket = connect(gateway.at);
    socket
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    wait(&told);
    drop(socket);
    wait(&over);
}

#[test]
fn a_silent_backend_costs_the_client_no_more_than_its_time() {
    let (ended, over) = channel();
    let backend = backend(move |_| Does::Hangs(ended.clone()));
    let gateway = gateway(&[("s-1", backend.at)], None);
    let answer = ask(gateway.at, &request("/tile", "").replace("6000", "300"));
    assert!(matches!(answer.status(), 429 | 502), "{answer:?}");
    wait(&over);
}

/// Which backends the gateway has is seen by one of them alone serving, the others turning work away: which it
/// prefers is the module's choice, and a first answer of 60 ms kept a backend out of 200 requests.
#[test]
fn a_partial_list_is_not_the_whole_and_a_draining_backend_gets_nothing_new() {
    let serving = Arc::new(AtomicUsize::new(0));
    let only = |me: usize, body: &'static str| {
        let serving = serving.clone();
        backend(move |n| {
            std::thread::sleep(Duration::from_millis(if n == 0 { 60 } else { 0 }));
            Does::Answers(match serving.load(Ordering::SeqCst) & me {
                0 => answer("503 Full\r\nX-Unprocessed: 1", ""),
                _ => answer("200 OK", body),
            })
        })
    };
    let (first, second, third) = (only(1, "1"), only(2, "2"), only(4, "3"));
    let gateway = gateway(&[("s-1", first.at), ("s-2", second.at)], None);
    let seen = |who: usize, body: &str| {
        serving.store(who, Ordering::SeqCst);
        until(|| ask(gateway.at, &request("/tile", "")).body == body.as_bytes());
    };
    seen(1, "1");
    seen(2, "2");
    gateway
        .list
        .send(page(2, false, vec![member("s-3", third.at, "active")]))
        .unwrap();
    seen(4, "3");
    seen(2, "2");
    seen(1, "1");
    gateway
        .list
        .send(page(3, false, vec![member("s-1", first.at, "leaving")]))
        .unwrap();
    gateway
        .list
        .send(page(
            4,
            true,
            vec![
                member("s-2", second.at, "active"),
                member("s-1", first.at, "leaving"),
            ],
        ))
        .unwrap();
    // Told once a third is gone; the list is read in order.
    serving.store(1 | 4, Ordering::SeqCst);
    let count = || [&first, &third].map(|b| b.got.lock().unwrap().len());
    until(|| {
        let before = count();
        (0..40).all(|_| ask(gateway.at, &request("/tile", "")).body.is_empty() && count() == before)
    });
    seen(2, "2");
}

#[test]
fn names_of_backends_that_are_gone_are_forgotten() {
    let mut numbers = NameTable::new(vec![], vec![]);
    let at = "127.0.0.1:1".parse().unwrap();
    let mut list = |form, complete, members| {
        let page = serde_json::from_value(page(1, complete, members)).unwrap();
        (
            numbers.to_update(page, form).entries[0].backend_id,
            numbers.known(),
        )
    };
    let (first, _) = list(ListForm::Replace, true, vec![member("s-0", at, "active")]);
    for n in 0..100 {
        let (before, now) = (format!("s-{n}"), format!("s-{}", n + 1));
        let (tgt, known) = match n % 2 {
            0 => list(ListForm::Replace, true, vec![member(&now, at, "active")]),
            _ => list(
                ListForm::Update,
                false,
                vec![member(&now, at, "active"), member(&before, at, "left")],
            ),
        };
        assert!(tgt != first && known == 1, "{known} at {n}");
    }
    assert_eq!(
        list(ListForm::Replace, true, vec![member("s-0", at, "active")]).0,
        first
    );
}

/// The second, found on a day when watches fell silent: each was waited for 21 s, and backends went meanwhile.
#[test]
fn a_list_that_breaks_off_or_falls_silent_stays_and_is_asked_for_again() {
    for fails in [Value::Null, json!("silent")] {
        let (first, second) = (serves("1"), serves("2"));
        let gateway = gateway(&[("s-1", first.at)], None);
        gateway.list.send(fails).unwrap();
        assert_eq!(ask(gateway.at, &request("/tile", "")).body, b"1");
        gateway
            .list
            .send(page(2, true, vec![member("s-2", second.at, "active")]))
            .unwrap();
        let seen = (0..1000).any(|_| {
            std::thread::sleep(Duration::from_millis(10));
            ask(gateway.at, &request("/tile", "")).body == b"2"
        });
        assert!(seen, "the list is not asked for again");
    }
}

/// Found with a hundred gateways: a whole list and a subscription after it were two calls each, at a service
/// that all call when they start; and one that gave up after a second was served for nothing.
#[test]
fn a_subscription_is_one_call_and_is_waited_for() {
    let (old, new) = (serves("old"), serves("new"));
    let (mut config, list) = config(&[], None);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    config["discovery"] = json!(listener.local_addr().unwrap());
    config["known"] = page(41, true, vec![member("s-1", old.at, "active")]);
    config["settings"]["discovery"] = json!("subscribe");
    let (to, calls) = channel();
    let changes = page(42, true, vec![member("s-2", new.at, "active")]).to_string();
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let (mut out, mut from) =
                (socket.try_clone().unwrap(), std::io::BufReader::new(socket));
            while let Some(call) = Message::read(&mut from) {
                to.send(call.first).unwrap_or(());
                // Its turn comes late.
                std::thread::sleep(Duration::from_millis(1500));
                out.write_all(answer("200 OK", &changes).as_bytes())
                    .unwrap_or(());
            }
        }
    });
    let gateway = start(&config, list);
    assert_eq!(
        ask(gateway.at, &request("/tile", "")).body,
        b"old",
        "it begins with what it knows"
    );
    assert!(
        wait(&calls).contains("from=41&"),
        "one call for all that was missed"
    );
    until(|| ask(gateway.at, &request("/tile", "")).body == b"new");
    assert!(
        wait(&calls).contains("from=42&"),
        "the first was not given up"
    );
}

/// Failure found on one core: up before the list came, it throttled the first invocations.
#[test]
fn up_only_with_a_list_of_backends() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut config, list) = config(&[], None);
    config["discovery"] = json!(silent.local_addr().unwrap());
    let mut gateway = Gateway {
        at: config["listen"].as_str().unwrap().parse().unwrap(),
        child: launch(&config),
        list,
    };
    while std::net::TcpStream::connect(gateway.at).is_err() {
        assert!(gateway.child.try_wait().unwrap().is_none());
    }
    assert_eq!(
        ask(gateway.at, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status(),
        503
    );
    gateway.signal("-TERM");
    gateway.child.wait().unwrap();
}

#[test]
fn after_sigterm_all_taken_is_answered_and_the_program_ends() {
    let (asked, told) = channel();
    let backend = backend(move |n| {
        if n == 0 {
            asked.send(()).unwrap();
            std::thread::sleep(Duration::from_millis(300));
        }
        Does::Answers(answer("200 OK", "late"))
    });
    let mut gateway = gateway(&[("s-1", backend.at)], None);
    let (mut held, mut idle) = (connect(gateway.at), connect(gateway.at));
    held.get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    wait(&told);
    gateway.signal("-TERM");
    let answer = Message::read(&mut held).unwrap();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    // A connection that was there before, and idle, is not left hanging.
    idle.get_mut()
        .write_all(request("/tile", "").as_bytes())
        .ok();
    let answer = Message::read(&mut idle);
    assert!(answer.is_none_or(|a| a.status() == 200 && a.header("connection") == Some("close")));
    assert!(gateway.child.wait().unwrap().success());
}

/// Failure found on a day of reloads: SIGHUP ended the gateway and lost what it held.
#[test]
fn a_reload_moves_the_list_and_the_counter_and_a_faulty_one_changes_nothing() {
    let (first, second) = (serves("1"), serves("2"));
    let (old, _) = counter(|_, _| "ok 1\r\n".into());
    let (new, calls) = counter(|_, _| "ok 1\r\n".into());
    let (config, list) = config(&[("s-1", first.at)], Some(old));
    let (mut gateway, path) = reloadable(&config, list);
    let mut next = config.clone();
    let (_list, changes) = channel();
    next["discovery"] = json!(discovery(
        page(1, true, vec![member("s-2", second.at, "active")]),
        changes
    ));
    next["counter"] = json!(new);
    let mut asked = 0xb4d6_5522u32;
    let mut until = |done: &dyn Fn(&Message) -> bool| {
        for _ in 0..2000 {
            asked += 1;
            let answer = ask(
                gateway.at,
                &request("/tile", "").replace("b4d65521", &format!("{asked:08x}")),
            );
            assert_eq!(answer.status(), 200);
            if done(&answer) {
                return;
            }
        }
        panic!("nothing changes");
    };
    let faulty = next
        .to_string()
        .replace("\"overrun-cost\":1.0", "\"overrun-cost\":\"much\"");
    assert_ne!(faulty, next.to_string());
    std::fs::write(&path, faulty).unwrap();
    gateway.signal("-HUP");
    let mut log = std::io::BufReader::new(gateway.child.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains("reload-refused") {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "it ended");
    }
    assert!(line.contains("overrun-cost"), "{line}");
    until(&|answer| answer.body == b"1");
    std::fs::write(&path, next.to_string()).unwrap();
    gateway.signal("-HUP");
    until(&|answer| answer.body == b"2");
    until(&|_| !calls.lock().unwrap().is_empty());
    assert!(gateway.child.try_wait().unwrap().is_none());
}

#[test]
fn beyond_its_descriptors_a_gateway_goes_on_serving() {
    let backend = serves("");
    let mut gateway = gateway(&[("s-1", backend.at)], None);
    let idle: Vec<_> = (0..400).map(|_| connect(gateway.at)).collect();
    for _ in 0..20 {
        assert_eq!(ask(gateway.at, &request("/tile", "")).status(), 200);
    }
    let fds = std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id()))
        .unwrap()
        .count();
    assert!(fds <= 256, "{fds} descriptors");
    assert!(gateway.child.try_wait().unwrap().is_none());
    drop(idle);
}

/// Killed for its memory, a gateway loses all that it holds.
#[test]
fn with_every_place_at_its_largest_the_memory_holds() {
    let (ended, _over) = channel();
    let backend = backend(move |_| Does::Hangs(ended.clone()));
    let (mut config, list) = config(&[("s-1", backend.at)], None);
    config["limits"]["memory_mb"] = json!(32);
    config["settings"]["request-classes"][0]["idempotency"] = json!("dedup");
    let gateway = start(&config, list);
    let long = format!(
        "X-Long: {}\r\nContent-Length: 65536\r\n",
        "y".repeat(14_000)
    );
    let text = request("/tile", &long).replace("GET", "POST") + &"x".repeat(65_536);
    let mut held = Vec::new();
    for n in 0..160 {
        let mut socket = connect(gateway.at);
        let text = text.replace("9b1f03aa5c7e2d41", &format!("{n:016x}"));
        socket.get_mut().write_all(text.as_bytes()).ok();
        held.push(socket);
    }
    assert!(matches!(
        ask(gateway.at, &request("/tile", "")).status(),
        400 | 503
    ));
    let kb = rss_kb(&gateway);
    assert!((4_000..32_000).contains(&kb), "{kb} kB");
}

#[test]
fn without_descriptors_a_gateway_waits_for_some() {
    let backend = serves("");
    let (config, list) = config(&[("s-1", backend.at)], None);
    let at = config["listen"].as_str().unwrap().parse().unwrap();
    let mut gateway = up(
        &config,
        Gateway {
            at,
            child: launch_with(&config, 30),
            list,
        },
    );
    let mut many: Vec<_> = (0..100).map(|_| connect(gateway.at)).collect();
    // Some of the hundred are let go for others; the last is served once all before it had their turn.
    many.last_mut()
        .unwrap()
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    let answer = Message::read(many.last_mut().unwrap()).expect("it waits for ever");
    assert!(matches!(answer.status(), 200 | 429), "{answer:?}");
    drop(many);
    assert!((0..100).any(|_| ask(gateway.at, &request("/tile", "")).status() == 200));
    assert!(gateway.child.try_wait().unwrap().is_none());
}

#[test]
fn a_bad_configuration_ends_with_one_line_that_names_the_key() {
    type Spoil = fn(&mut Value);
    let bad: [(&str, Spoil); 7] = [
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
    for (key, spoil) in bad {
        let (mut config, _list) = config(&[], None);
        spoil(&mut config);
        let output = launch(&config).wait_with_output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && text.lines().count() == 1 && text.contains(key),
            "{key}: {text}"
        );
    }
}

#[test]
fn a_request_is_whole_with_the_last_byte_of_its_body() {
    let text = b"POST / HTTP/1.1\r\na: b\r\n\r\nbody\r\n\r\n";
    for cut in 0..=text.len() {
        let meter = WriteMeter::default();
        meter.begin(8);
        assert!(!meter.is_complete());
        meter.wrote(&text[..cut]);
        assert_eq!(meter.is_complete(), cut == text.len(), "{cut}");
        meter.wrote(&text[cut..]);
        assert!(meter.is_complete());
    }
}

#[test]
fn a_place_that_logs_is_held_to_a_few_lines_a_second() {
    let (site, start) = (Site::new(), Instant::now());
    let passed = (0..100).filter(|_| site.pass(start).is_some()).count();
    assert!((1..=10).contains(&passed));
    assert_eq!(
        site.pass(start + Duration::from_secs(1)),
        Some(100 - passed as u32)
    );
}

/// The move: a file of the old shape, carried over, serves; and so does the old one after it.
#[test]
fn a_migrated_file_starts_a_gateway_that_answers_and_the_old_one_takes_it_back() {
    let backend = serves("here");
    let (counter, calls) = counter(|_, _| "ok 1\r\n".into());
    let (old, list) = config(&[("s-1", backend.at)], Some(counter));
    let mut shape = old.clone();
    shape["settings"]["plans"] = json!([{"name": "basic", "max-out": 2, "overrun-cost": 0.6}]);
    shape["settings"]["domain"]["settles"] = json!(true);
    let done = damsonbeam_migrate::migrate(&old.to_string(), &shape.to_string()).unwrap();
    assert!(done.notes.iter().any(|n| n.contains("settings.plans")));
    let new: Value = serde_json::from_str(&done.text).unwrap();
    for config in [&new, &old] {
        let gateway = start(config, list.clone());
        assert_eq!(ask(gateway.at, &request("/tile", "")).status(), 200);
    }
    assert!(!calls.lock().unwrap().is_empty(), "what is out is counted");
}
