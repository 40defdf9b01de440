//! What operators do to a gateway that serves: figures, drain and rejoin, new settings.

use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::stand_ins::*;

/// A gateway with an address for operators.
fn operated(config: &mut Value, list: std::sync::mpsc::Sender<Value>) -> (Gateway, SocketAddr) {
    let admin = admin(config);
    (start(config, list), admin)
}

/// Has a gateway take a configuration, its `nth`.
fn reload(gateway: &Gateway, path: &Path, config: &Value, admin: SocketAddr, nth: i64) {
    std::fs::write(path, config.to_string()).unwrap();
    gateway.signal("-HUP");
    until(|| figure(admin, "gateway_conf_loaded") == Some(nth));
}

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

fn named(text: &str, n: usize) -> String {
    text.replace("9b1f03aa5c7e2d41", &format!("{n:016x}"))
}

#[test]
fn figures_are_true_and_callers_that_misbehave_hold_nobody_up() {
    let backend = backend(|n| match n % 2 {
        0 => Does::Answers(answer("200 OK", "here")),
        _ => Does::Answers(answer("500 Oops", "")),
    });
    let (mut config, list) = config(&[("s-1", backend.at)], None);
    config["settings"]["ceilings"]["try-limit"] = json!(1);
    config["settings"]["request-classes"][0]["idempotency"] = json!("fragile");
    let (gateway, admin) = operated(&mut config, list);
    // More of them than there are places, and each holds its own.
    let stuck: Vec<_> = (0..30)
        .map(|n| {
            let mut socket = connect(admin);
            let part = [
                "",
                "GET /api/ready HTTP/1.1\r\nHo",
                "POST /api/evacuate HTTP/1.1\r\nX: ",
            ][n % 3];
            socket.get_mut().write_all(part.as_bytes()).unwrap();
            socket
        })
        .collect();
    let huge = format!(
        "GET /api/ready HTTP/1.1\r\nX: {}\r\n\r\n",
        "x".repeat(1 << 20)
    );
    assert_ne!(ask(admin, &huge).status(), 200);
    let post = request("/tile", "Content-Length: 0\r\n").replace("GET", "POST");
    for n in 0..6 {
        let status = ask(gateway.at, &named(&post, n)).status();
        assert_eq!(status, if n % 2 == 0 { 200 } else { 502 });
    }
    let began = Instant::now();
    assert_eq!(call(admin, "GET /api/ready").status(), 200);
    assert_eq!(call(admin, "POST /api/ready").status(), 405);
    assert_eq!(call(admin, "GET /api/evacuate").status(), 405);
    assert_eq!(call(admin, "GET /elsewhere").status(), 404);
    sleep(Duration::from_millis(300));
    for (figure, value) in [
        ("gateway_answered{group=\"tile\"}", 3),
        ("gateway_errored{group=\"tile\"}", 3),
        ("gateway_deferred{group=\"tile\"}", 0),
        ("gateway_sends", 6),
        ("gateway_current", 0),
        ("gateway_cluster_size", 1),
        ("gateway_cluster_unhealthy", 0),
        ("gateway_deliveries{outcome=\"failed\"}", 3),
    ] {
        assert_eq!(self::figure(admin, figure), Some(value), "{figure}");
    }
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "ten calls took {:?}",
        began.elapsed()
    );
    drop(stuck);
}

#[test]
fn a_drained_gateway_sends_its_clients_away_and_comes_back() {
    let (backend, told, go) = holds(1, |_| Does::Answers(answer("200 OK", "here")));
    let (mut config, list) = config(&[("s-1", backend.at)], None);
    let (gateway, admin) = operated(&mut config, list);
    let (mut idle, mut held, mut half) = (
        connect(gateway.at),
        connect(gateway.at),
        connect(gateway.at),
    );
    idle.get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
    held.get_mut()
        .write_all(named(&request("/tile", ""), 2).as_bytes())
        .unwrap();
    wait(&told);
    let text = named(&request("/tile", ""), 3);
    half.get_mut().write_all(&text.as_bytes()[..40]).unwrap();
    for _ in 0..2 {
        assert_eq!(
            call(admin, "POST /api/evacuate").status(),
            200,
            "a second drain is no fault"
        );
    }
    assert_eq!(
        (
            ask(gateway.at, UP).status(),
            call(admin, "GET /api/ready").status()
        ),
        (503, 503)
    );
    // A new connection still comes, and the half of a request becomes whole: both are answered, and end.
    half.get_mut().write_all(&text.as_bytes()[40..]).unwrap();
    let answer = Message::read(&mut half).expect("a request half read at the cut is lost");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    let answer = ask(gateway.at, &named(&request("/tile", ""), 4));
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    let began = Instant::now();
    assert!(
        Message::read(&mut idle).is_none(),
        "an idle connection is closed"
    );
    assert!(began.elapsed() < Duration::from_secs(3));
    go.send(()).unwrap();
    let answer = Message::read(&mut held).expect("what is under way keeps its connection");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert_eq!(call(admin, "POST /api/rejoin").status(), 200);
    assert_eq!(
        (
            ask(gateway.at, UP).status(),
            call(admin, "GET /api/ready").status()
        ),
        (200, 200)
    );
    let answer = ask(gateway.at, &request("/tile", ""));
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
}

#[test]
fn sigterm_ends_a_drained_gateway_and_a_reload_does_not_end_its_drain() {
    let backend = serves("here");
    let (mut config, list) = config(&[("s-1", backend.at)], None);
    let admin = admin(&mut config);
    let (mut gateway, path) = reloadable(&config, list);
    call(admin, "POST /api/evacuate");
    reload(&gateway, &path, &config, admin, 1);
    assert_eq!(ask(gateway.at, UP).status(), 503);
    gateway.signal("-TERM");
    gateway.signal("-TERM");
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn operations_come_and_go_and_what_is_under_way_keeps_its_own() {
    // The first delivery ends in an error that may have run; while it is out the operation changes.
    let (backend, told, go) = holds(0, |n| {
        Does::Answers(if n == 0 {
            answer("500 Oops", "")
        } else {
            answer("200 OK", "again")
        })
    });
    let (mut config, list) = config(&[("s-1", backend.at)], None);
    let admin = admin(&mut config);
    let (gateway, path) = reloadable(&config, list);
    let mut held = connect(gateway.at);
    held.get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    wait(&told);
    let mut class = config["settings"]["request-classes"][0].clone();
    class["name"] = json!("mark");
    config["settings"]["request-classes"][0]["idempotency"] = json!("fragile");
    let classes = config["settings"]["request-classes"]
        .as_array_mut()
        .unwrap();
    classes.insert(0, class);
    reload(&gateway, &path, &config, admin, 1);
    go.send(()).unwrap();
    // Idempotent when it came, it may go again, though its operation may not any more.
    let answer = Message::read(&mut held).unwrap();
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, b"again".as_slice())
    );
    let post = request("/tile", "Content-Length: 0\r\n").replace("GET", "POST");
    assert_eq!(
        ask(gateway.at, &named(&request("/mark", ""), 5)).status(),
        200,
        "a new operation serves"
    );
    assert_eq!(
        ask(gateway.at, &named(&post, 6)).status(),
        200,
        "the stricter effect holds"
    );
    config["settings"]["request-classes"]
        .as_array_mut()
        .unwrap()
        .remove(0);
    reload(&gateway, &path, &config, admin, 2);
    assert_eq!(
        ask(gateway.at, &named(&request("/mark", ""), 7)).status(),
        400,
        "it is gone"
    );
    assert_eq!(
        figure(admin, "gateway_answered{group=\"mark\"}"),
        Some(1),
        "its figures stay"
    );
}

#[test]
fn a_stricter_number_of_tries_holds_for_what_is_under_way() {
    let (backend, told, go) = holds(0, |_| Does::Answers(answer("500 Oops", "")));
    let (mut config, list) = config(&[("s-1", backend.at)], None);
    let admin = admin(&mut config);
    let (gateway, path) = reloadable(&config, list);
    let mut held = connect(gateway.at);
    held.get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    wait(&told);
    config["settings"]["ceilings"]["try-limit"] = json!(1);
    reload(&gateway, &path, &config, admin, 1);
    go.send(()).unwrap();
    assert_eq!(Message::read(&mut held).unwrap().status(), 429);
    assert_eq!(
        backend.got.lock().unwrap().len(),
        1,
        "no delivery beyond the new number"
    );
}

#[test]
fn each_broken_file_leaves_the_old_settings_whole_and_names_its_key() {
    let backend = serves("here");
    let (mut config, list) = config(&[("s-1", backend.at)], None);
    let admin = admin(&mut config);
    let (mut gateway, path) = reloadable(&config, list);
    let mut log = std::io::BufReader::new(gateway.child.stderr.take().unwrap());
    let text = config.to_string();
    let with = |spoil: &dyn Fn(&mut Value)| {
        let mut new = config.clone();
        new["settings"]["request-classes"][0]["name"] = json!("other");
        spoil(&mut new["settings"]);
        new.to_string()
    };
    let bad = [
        (String::new(), "EOF"),
        (text[..text.len() / 2].to_string(), "EOF"),
        (
            with(&|s| drop(s.as_object_mut().unwrap().remove("tick-ns"))),
            "settings.tick-ns",
        ),
        (
            with(&|s| {
                drop(
                    s["plans"][0]
                        .as_object_mut()
                        .unwrap()
                        .remove("value-factor"),
                )
            }),
            "plans[0].value-factor",
        ),
        (
            with(&|s| {
                drop(
                    s["request-classes"][0]
                        .as_object_mut()
                        .unwrap()
                        .remove("idempotency"),
                )
            }),
            "request-classes[0].idempotency",
        ),
        (
            with(&|s| s["request-classes"][0]["deadline-ns"] = json!(0)),
            "request-classes[0]",
        ),
        (
            with(&|s| s["request-classes"][0]["deadline-ns"] = json!(-5)),
            "request-classes[0].deadline-ns",
        ),
        (
            with(&|s| s["ceilings"]["try-limit"] = json!(0)),
            "ceilings.try-limit",
        ),
        (
            with(&|s| {
                s["request-classes"] = json!([s["request-classes"][0], s["request-classes"][0]])
            }),
            "twice",
        ),
    ];
    for (n, (text, key)) in bad.iter().enumerate() {
        std::fs::write(&path, text).unwrap();
        gateway.signal("-HUP");
        let mut line = String::new();
        while !line.contains("reload-refused") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "it ended");
        }
        assert!(line.contains(key), "{key}: {line}");
        assert_eq!(figure(admin, "gateway_conf_invalid"), Some(n as i64 + 1));
        assert_eq!(
            ask(gateway.at, &request("/tile", "")).status(),
            200,
            "{key}"
        );
        assert_eq!(
            ask(gateway.at, &request("/other", "")).status(),
            400,
            "{key}"
        );
        // Lines of one kind are held to a few a second.
        sleep(Duration::from_millis(250));
    }
    assert_eq!(figure(admin, "gateway_conf_loaded"), Some(0));
}
