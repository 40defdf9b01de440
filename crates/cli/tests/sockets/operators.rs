//! Operator requests to a serving gateway: metrics, drain and rejoin, reload of the configuration.

use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::harness::*;

/// Starts a gateway with an address for operator requests and returns both.
fn start_with_admin(
    config: &mut Value,
    list_updates: std::sync::mpsc::Sender<Value>,
) -> (Gateway, SocketAddr) {
    let admin = set_admin_address(config);
    (start_gateway(config, list_updates), admin)
}

/// Reloads a gateway with a configuration and waits until `gateway_conf_loaded` is `nth`.
fn reload(gateway: &Gateway, path: &Path, config: &Value, admin: SocketAddr, nth: i64) {
    std::fs::write(path, config.to_string()).unwrap();
    gateway.signal("-HUP");
    wait_until(|| read_metric(admin, "gateway_conf_loaded") == Some(nth));
}

/// Request for the readiness of the gateway.
const UP_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// Returns a request with its correlation id replaced by `n`.
fn with_id(text: &str, n: usize) -> String {
    text.replace("9b1f03aa5c7e2d41", &format!("{n:016x}"))
}

#[test]
fn metrics_are_correct_and_stalled_operator_connections_delay_no_other() {
    let backend = start_backend(|n| match n % 2 {
        0 => Behavior::Respond(response_text("200 OK", "here")),
        _ => Behavior::Respond(response_text("500 Oops", "")),
    });
    let (mut config, list_updates) = gateway_config(&[("s-1", backend.address)], None);
    config["settings"]["ceilings"]["try-limit"] = json!(1);
    config["settings"]["request-classes"][0]["idempotency"] = json!("fragile");
    let (gateway, admin) = start_with_admin(&mut config, list_updates);
    // More stalled connections than the gateway has connection slots for operators.
    let stalled: Vec<_> = (0..30)
        .map(|n| {
            let mut socket = connect(admin);
            let fragment = [
                "",
                "GET /api/ready HTTP/1.1\r\nHo",
                "POST /api/evacuate HTTP/1.1\r\nX: ",
            ][n % 3];
            socket.get_mut().write_all(fragment.as_bytes()).unwrap();
            socket
        })
        .collect();
    let huge = format!(
        "GET /api/ready HTTP/1.1\r\nX: {}\r\n\r\n",
        "x".repeat(1 << 20)
    );
    assert_ne!(send_request(admin, &huge).status(), 200);
    let post = request("/tile", "Content-Length: 0\r\n").replace("GET", "POST");
    for n in 0..6 {
        let status = send_request(gateway.address, &with_id(&post, n)).status();
        assert_eq!(status, if n % 2 == 0 { 200 } else { 502 });
    }
    let start = Instant::now();
    assert_eq!(call_operator_api(admin, "GET /api/ready").status(), 200);
    assert_eq!(call_operator_api(admin, "POST /api/ready").status(), 405);
    assert_eq!(call_operator_api(admin, "GET /api/evacuate").status(), 405);
    assert_eq!(call_operator_api(admin, "GET /elsewhere").status(), 404);
    sleep(Duration::from_millis(300));
    for (metric, value) in [
        ("gateway_answered{group=\"tile\"}", 3),
        ("gateway_errored{group=\"tile\"}", 3),
        ("gateway_deferred{group=\"tile\"}", 0),
        ("gateway_sends", 6),
        ("gateway_current", 0),
        ("gateway_cluster_size", 1),
        ("gateway_cluster_unhealthy", 0),
        ("gateway_deliveries{outcome=\"failed\"}", 3),
    ] {
        assert_eq!(self::read_metric(admin, metric), Some(value), "{metric}");
    }
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "ten calls took {:?}",
        start.elapsed()
    );
    drop(stalled);
}

#[test]
fn drained_gateway_closes_its_connections_and_serves_after_rejoin() {
    let (backend, arrived, release) =
        start_held_backend(1, |_| Behavior::Respond(response_text("200 OK", "here")));
    let (mut config, list_updates) = gateway_config(&[("s-1", backend.address)], None);
    let (gateway, admin) = start_with_admin(&mut config, list_updates);
    let (mut idle, mut in_progress, mut partial) = (
        connect(gateway.address),
        connect(gateway.address),
        connect(gateway.address),
    );
    idle.get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    assert_eq!(HttpMessage::read(&mut idle).unwrap().status(), 200);
    in_progress
        .get_mut()
        .write_all(with_id(&request("/tile", ""), 2).as_bytes())
        .unwrap();
    receive(&arrived);
    let text = with_id(&request("/tile", ""), 3);
    partial.get_mut().write_all(&text.as_bytes()[..40]).unwrap();
    for _ in 0..2 {
        assert_eq!(
            call_operator_api(admin, "POST /api/evacuate").status(),
            200,
            "a second drain must succeed"
        );
    }
    assert_eq!(
        (
            send_request(gateway.address, UP_REQUEST).status(),
            call_operator_api(admin, "GET /api/ready").status()
        ),
        (503, 503)
    );
    // A request completed after the drain began and a request on a new connection get a response, and both connections
    // close.
    partial.get_mut().write_all(&text.as_bytes()[40..]).unwrap();
    let response = HttpMessage::read(&mut partial)
        .expect("a request partly read when the drain began is lost");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    let response = send_request(gateway.address, &with_id(&request("/tile", ""), 4));
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    let start = Instant::now();
    assert!(
        HttpMessage::read(&mut idle).is_none(),
        "an idle connection must be closed"
    );
    assert!(start.elapsed() < Duration::from_secs(3));
    release.send(()).unwrap();
    let response =
        HttpMessage::read(&mut in_progress).expect("a request in progress lost its connection");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    assert_eq!(call_operator_api(admin, "POST /api/rejoin").status(), 200);
    assert_eq!(
        (
            send_request(gateway.address, UP_REQUEST).status(),
            call_operator_api(admin, "GET /api/ready").status()
        ),
        (200, 200)
    );
    let response = send_request(gateway.address, &request("/tile", ""));
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, None)
    );
}

#[test]
fn reload_does_not_end_a_drain_and_sigterm_ends_the_drained_gateway() {
    let backend = start_fixed_backend("here");
    let (mut config, list_updates) = gateway_config(&[("s-1", backend.address)], None);
    let admin = set_admin_address(&mut config);
    let (mut gateway, path) = start_from_file(&config, list_updates);
    call_operator_api(admin, "POST /api/evacuate");
    reload(&gateway, &path, &config, admin, 1);
    assert_eq!(send_request(gateway.address, UP_REQUEST).status(), 503);
    gateway.signal("-TERM");
    gateway.signal("-TERM");
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn reload_adds_and_removes_operations_and_running_invocation_keeps_its_settings() {
    // The first attempt ends with an error, so the request may have run. The operation changes during this attempt.
    let (backend, arrived, release) = start_held_backend(0, |n| {
        Behavior::Respond(if n == 0 {
            response_text("500 Oops", "")
        } else {
            response_text("200 OK", "again")
        })
    });
    let (mut config, list_updates) = gateway_config(&[("s-1", backend.address)], None);
    let admin = set_admin_address(&mut config);
    let (gateway, path) = start_from_file(&config, list_updates);
    let mut in_progress = connect(gateway.address);
    in_progress
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    receive(&arrived);
    let mut class = config["settings"]["request-classes"][0].clone();
    class["name"] = json!("mark");
    config["settings"]["request-classes"][0]["idempotency"] = json!("fragile");
    let classes = config["settings"]["request-classes"]
        .as_array_mut()
        .unwrap();
    classes.insert(0, class);
    reload(&gateway, &path, &config, admin, 1);
    release.send(()).unwrap();
    // The invocation was idempotent on arrival and may be retried, although its operation no longer allows retries.
    let response = HttpMessage::read(&mut in_progress).unwrap();
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, b"again".as_slice())
    );
    let post = request("/tile", "Content-Length: 0\r\n").replace("GET", "POST");
    assert_eq!(
        send_request(gateway.address, &with_id(&request("/mark", ""), 5)).status(),
        200,
        "a new operation must be served"
    );
    assert_eq!(
        send_request(gateway.address, &with_id(&post, 6)).status(),
        200,
        "the stricter idempotency must apply to new invocations"
    );
    config["settings"]["request-classes"]
        .as_array_mut()
        .unwrap()
        .remove(0);
    reload(&gateway, &path, &config, admin, 2);
    assert_eq!(
        send_request(gateway.address, &with_id(&request("/mark", ""), 7)).status(),
        400,
        "a removed operation must be rejected"
    );
    assert_eq!(
        read_metric(admin, "gateway_answered{group=\"mark\"}"),
        Some(1),
        "the metrics of a removed operation must remain"
    );
}

#[test]
fn lower_try_limit_applies_to_invocations_in_progress() {
    let (backend, arrived, release) =
        start_held_backend(0, |_| Behavior::Respond(response_text("500 Oops", "")));
    let (mut config, list_updates) = gateway_config(&[("s-1", backend.address)], None);
    let admin = set_admin_address(&mut config);
    let (gateway, path) = start_from_file(&config, list_updates);
    let mut in_progress = connect(gateway.address);
    in_progress
        .get_mut()
        .write_all(request("/tile", "").as_bytes())
        .unwrap();
    receive(&arrived);
    config["settings"]["ceilings"]["try-limit"] = json!(1);
    reload(&gateway, &path, &config, admin, 1);
    release.send(()).unwrap();
    assert_eq!(HttpMessage::read(&mut in_progress).unwrap().status(), 429);
    assert_eq!(
        backend.requests.lock().unwrap().len(),
        1,
        "no attempt beyond the new limit"
    );
}

#[test]
fn invalid_file_keeps_the_old_settings_and_log_names_the_key() {
    let backend = start_fixed_backend("here");
    let (mut config, list_updates) = gateway_config(&[("s-1", backend.address)], None);
    let admin = set_admin_address(&mut config);
    let (mut gateway, path) = start_from_file(&config, list_updates);
    let mut log = std::io::BufReader::new(gateway.child.stderr.take().unwrap());
    let text = config.to_string();
    let config_with = |invalidate: &dyn Fn(&mut Value)| {
        let mut new = config.clone();
        new["settings"]["request-classes"][0]["name"] = json!("other");
        invalidate(&mut new["settings"]);
        new.to_string()
    };
    let invalid = [
        (String::new(), "EOF"),
        (text[..text.len() / 2].to_string(), "EOF"),
        (
            config_with(&|s| drop(s.as_object_mut().unwrap().remove("tick-ns"))),
            "settings.tick-ns",
        ),
        (
            config_with(&|s| {
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
            config_with(&|s| {
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
            config_with(&|s| s["request-classes"][0]["deadline-ns"] = json!(0)),
            "request-classes[0]",
        ),
        (
            config_with(&|s| s["request-classes"][0]["deadline-ns"] = json!(-5)),
            "request-classes[0].deadline-ns",
        ),
        (
            config_with(&|s| s["ceilings"]["try-limit"] = json!(0)),
            "ceilings.try-limit",
        ),
        (
            config_with(&|s| {
                s["request-classes"] = json!([s["request-classes"][0], s["request-classes"][0]])
            }),
            "twice",
        ),
    ];
    for (n, (text, key)) in invalid.iter().enumerate() {
        std::fs::write(&path, text).unwrap();
        gateway.signal("-HUP");
        let mut line = String::new();
        while !line.contains("reload-refused") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the gateway ended");
        }
        assert!(line.contains(key), "{key}: {line}");
        assert_eq!(
            read_metric(admin, "gateway_conf_invalid"),
            Some(n as i64 + 1)
        );
        assert_eq!(
            send_request(gateway.address, &request("/tile", "")).status(),
            200,
            "{key}"
        );
        assert_eq!(
            send_request(gateway.address, &request("/other", "")).status(),
            400,
            "{key}"
        );
        // Log lines of a kind are limited to a few per second.
        sleep(Duration::from_millis(250));
    }
    assert_eq!(read_metric(admin, "gateway_conf_loaded"), Some(0));
}
