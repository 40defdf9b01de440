//! Checks which attempts of a request may send its streamed body.

use std::pin::Pin;
use std::rc::Rc;

use damsonbeam_gateway::bodies::{RequestBody, StreamedBody, Upload};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::sync::oneshot;

const BEGINNING: &[u8] = b"beginning";
const MAX_BYTES: u64 = 32 << 20;
/// More than the largest body that is accepted.
const TOO_LARGE_BYTES: usize = 33 << 20;
const PIECE_BYTES: usize = 1 << 20;

/// A body in chunks of which the beginning was read, and its client.
struct Received {
    client: DuplexStream,
    body: RequestBody,
}

/// Runs a test on a current-thread runtime.
fn run_test(test: impl Future<Output = ()>) {
    let options = tokio::runtime::LocalOptions::default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(options)
        .expect("a runtime");
    runtime.block_on(test);
}

/// Receives the head of a request whose body is still to come.
async fn receive() -> Received {
    let (mut client, server) = tokio::io::duplex(PIECE_BYTES);
    let (sender, receiver) = oneshot::channel::<Incoming>();
    let sender = std::cell::Cell::new(Some(sender));
    let service = service_fn(move |request: Request<Incoming>| {
        let sender = sender.take().expect("one request");
        sender.send(request.into_body()).expect("awaited");
        std::future::pending::<Result<Response<String>, hyper::Error>>()
    });
    tokio::task::spawn_local(async move {
        let connection = http1::Builder::new().serve_connection(TokioIo::new(server), service);
        connection.await.ok();
    });
    let head = b"POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    client.write_all(head).await.expect("written");
    let rest = receiver.await.expect("a body");
    let beginning = Bytes::from_static(BEGINNING);
    let body = StreamedBody::new(beginning, rest, None, MAX_BYTES, Box::new(|| {}));
    Received {
        client,
        body: RequestBody::Streamed(body),
    }
}

async fn send_chunk(client: &mut DuplexStream, data: &[u8]) {
    let size = format!("{:x}\r\n", data.len());
    client.write_all(size.as_bytes()).await.expect("written");
    client.write_all(data).await.expect("written");
    client.write_all(b"\r\n").await.expect("written");
}

/// Returns the next data that an attempt sends; `None` at the end of the body.
async fn next_data(upload: &mut Upload) -> Option<Result<Bytes, String>> {
    let frame = Pin::new(upload).frame().await?;
    Some(match frame {
        Ok(frame) => Ok(frame.into_data().expect("data")),
        Err(error) => Err(error.to_string()),
    })
}

fn is_kept(body: &RequestBody) -> bool {
    Rc::clone(body.streamed().expect("streamed")).is_kept()
}

/// Guards against UNASKED: an attempt never sends a body without the part that an earlier attempt has passed on.
#[test]
fn attempt_is_not_given_a_body_of_which_another_passed_on_a_part() {
    run_test(async {
        let Received { mut client, body } = receive().await;
        let (mut upload, handle) = Upload::claim(&body).expect("the first attempt");
        assert_eq!(next_data(&mut upload).await, Some(Ok(BEGINNING.into())));
        send_chunk(&mut client, b"part").await;
        assert_eq!(next_data(&mut upload).await, Some(Ok("part".into())));
        handle.release();
        assert!(Upload::claim(&body).is_none());
        drop(upload);
        assert!(Upload::claim(&body).is_none());
    });
}

/// Guards against lost retries: a body of which only the kept beginning was sent can be sent whole by another attempt.
#[test]
fn attempt_is_given_a_body_of_which_only_the_beginning_was_sent() {
    run_test(async {
        let Received { mut client, body } = receive().await;
        let (mut first, handle) = Upload::claim(&body).expect("the first attempt");
        assert_eq!(next_data(&mut first).await, Some(Ok(BEGINNING.into())));
        handle.release();
        let (mut second, _handle) = Upload::claim(&body).expect("the second attempt");
        send_chunk(&mut client, b"rest").await;
        client.write_all(b"0\r\n\r\n").await.expect("written");
        assert_eq!(next_data(&mut second).await, Some(Ok(BEGINNING.into())));
        assert_eq!(next_data(&mut second).await, Some(Ok("rest".into())));
        assert_eq!(next_data(&mut second).await, None);
        let stopped = next_data(&mut first).await.expect("no end of the body");
        assert!(stopped.is_err(), "the first attempt ended the body");
    });
}

/// Guards against UNASKED: two attempts never read one stream in turn.
#[test]
fn attempt_is_not_given_a_body_that_another_still_reads() {
    run_test(async {
        let Received {
            client: _client,
            body,
        } = receive().await;
        let (_upload, _handle) = Upload::claim(&body).expect("the first attempt");
        assert!(Upload::claim(&body).is_none());
        assert!(is_kept(&body));
    });
}

/// Guards against UNASKED: a body that its client broke off is not read as ended by a later attempt.
#[test]
fn attempt_is_not_given_a_body_that_its_client_broke_off() {
    run_test(async {
        let Received { client, body } = receive().await;
        let (mut upload, handle) = Upload::claim(&body).expect("the first attempt");
        assert_eq!(next_data(&mut upload).await, Some(Ok(BEGINNING.into())));
        drop(client);
        let broken = next_data(&mut upload).await.expect("no end of the body");
        assert!(broken.is_err());
        handle.release();
        assert!(Upload::claim(&body).is_none());
    });
}

/// Guards against UNASKED: a body that passes the limit is neither ended nor given to the attempt that waits for it.
#[test]
fn attempt_is_not_given_a_body_that_passed_the_limit() {
    run_test(async {
        let Received { mut client, body } = receive().await;
        let (mut upload, handle) = Upload::claim(&body).expect("the first attempt");
        let sending = tokio::task::spawn_local(async move {
            for _ in 0..TOO_LARGE_BYTES / PIECE_BYTES {
                send_chunk(&mut client, &[b'x'; PIECE_BYTES]).await;
            }
            client
        });
        let broken = loop {
            match next_data(&mut upload).await.expect("no end of the body") {
                Ok(_) => {}
                Err(error) => break error,
            }
        };
        assert!(broken.contains("too large"), "{broken}");
        handle.release();
        assert!(Upload::claim(&body).is_none());
        drop(upload);
        sending.abort();
    });
}
