//! A request becomes an invocation, the module's answer becomes a response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::interface::{InvId, Why};
use hyper::body::{Body, Incoming};
use hyper::{Method, Request, StatusCode};
use tokio::sync::{mpsc, oneshot};

use super::connection::{Awaits, Conn};
use super::{ClientResponse, Clients, Decoded, Rejection, rejection};
use crate::bodies::{self, Coming, End, Given, Load};
use crate::last_call::ELSEWHERE;
use crate::log::log;
use crate::mail::*;
use crate::sizes::{BODY, LARGE};

/// A body that still comes when its invocation is told runs on no client's time yet; this bounds it.
const UPLOAD: Duration = Duration::from_secs(600);

impl Clients {
    /// The answer to a request that is not taken, for the program ends.
    pub(super) fn refusal(&self) -> ClientResponse {
        let refused = Answer::Throttled {
            after: Some(ELSEWHERE),
            why: Why::Line,
            clean: true,
        };
        self.front.encode("", None, refused)
    }

    /// Counts an answer, where it ends: as it is handed over, or with the last byte of one passed on as it comes.
    pub(super) fn count(self: &Rc<Self>, operation: &Arc<str>, answer: &mut ClientResponse) {
        let status = answer.status();
        let all = match status {
            StatusCode::OK => &self.figures.answered,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                &self.figures.deferred
            }
            _ => &self.figures.errored,
        };
        let Given::Through(body) = answer.body_mut() else {
            return all.with_label_values(&[&**operation]).inc();
        };
        let (clients, operation) = (self.clone(), operation.clone());
        clients.figures.current.inc();
        body.count = Some(Box::new(move |end| {
            clients.figures.current.dec();
            let figures = &clients.figures;
            let all = if end == End::Broken {
                &figures.errored
            } else {
                &figures.answered
            };
            all.with_label_values(&[&*operation]).inc();
        }));
    }

    /// An invocation's answer, or why the request is none.
    pub(super) async fn invoke(
        &self,
        conn: &Conn,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, Rejection> {
        let (head, body) = request.into_parts();
        let inv = InvId(self.next.replace(self.next.get() + 1));
        let Decoded {
            mut told,
            repeatable,
            name,
            mut about,
            left,
            headers,
            to,
        } = self.front.decode(inv, &head)?;
        let body = self
            .body(conn, &head.method, body, told.inv, left, &to)
            .await
            .map_err(rejection)?;
        told.coming = body.coming().is_some();
        // Its client's time runs from its last byte.
        let came = self.clock.now();
        told.deadline = came + if told.coming { UPLOAD } else { left };
        // Two of a name would share one effect, and each would get the other's answer.
        if !self.open.borrow_mut().insert(name.clone()) {
            log!(warn, "invocation-twice", "{name}");
            return Err(rejection(StatusCode::CONFLICT));
        }
        self.figures.current.inc();
        let mut held = Held {
            inv: told.inv,
            name,
            clients: self,
            to: to.clone(),
            answered: false,
        };
        conn.proven.set(true);
        conn.turn(Awaits::Held, Duration::ZERO);
        let coming = body.coming().cloned();
        let ask = Rc::new(Ask {
            method: head.method,
            uri: head.uri,
            headers,
            body,
        });
        self.front.taken(&ask, &mut about);
        let (answer, answered) = oneshot::channel();
        if to
            .send(ToModule::Invocation {
                told,
                left,
                repeatable,
                ask,
                answer,
            })
            .await
            .is_err()
        {
            held.answered = true;
            return Err(rejection(StatusCode::SERVICE_UNAVAILABLE));
        }
        let answer = answered.await.unwrap_or(Answer::Errored);
        held.answered = true;
        self.figures
            .answer_seconds
            .observe(self.clock.now().saturating_sub(came).as_secs_f64());
        if let Some(coming) = coming.filter(|c| !c.ended()) {
            conn.unread.set(true);
            tokio::task::spawn_local(async move { coming.drain().await });
        }
        Ok(self.front.encode(&held.name, about, answer))
    }

    /// A request's body: whole where it is small, else its start and what still comes.
    async fn body(
        &self,
        conn: &Conn,
        method: &Method,
        mut body: Incoming,
        inv: InvId,
        left: Duration,
        to: &mpsc::Sender<ToModule>,
    ) -> Result<Load, StatusCode> {
        if body.is_end_stream() {
            return Ok(Load::Whole(bytes::Bytes::new()));
        }
        if *method == Method::GET {
            return Err(StatusCode::BAD_REQUEST);
        }
        let length = body.size_hint().exact();
        if length.is_some_and(|n| n > LARGE as u64) {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let room = length.map_or(BODY, |n| BODY.min(n as usize));
        let Some(room) = self.bodies.take(room) else {
            log!(warn, "bodies-full", "no room for a body of {room} bytes");
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        };
        conn.turn(Awaits::Giving, self.clock.now());
        conn.began.set(self.clock.now());
        conn.came.set(0);
        let (first, whole) = bodies::begin(&mut body, None)
            .await
            .map_err(|_| StatusCode::BAD_REQUEST)?;
        let first = room.keep(first);
        if whole {
            return Ok(Load::Whole(first));
        }
        let (module, clock) = (to.clone(), self.clock);
        let whole = move || {
            let told = ToModule::Whole {
                inv,
                deadline: clock.now() + left,
            };
            if let Err(mpsc::error::TrySendError::Full(told)) = module.try_send(told) {
                tokio::task::spawn_local(async move { module.send(told).await.ok() });
            }
        };
        Ok(Load::Coming(Coming::new(
            first,
            body,
            length,
            Box::new(whole),
        )))
    }
}

/// An invocation that the module holds; dropped unanswered, its client has hung up.
struct Held<'a> {
    inv: InvId,
    name: String,
    clients: &'a Clients,
    to: mpsc::Sender<ToModule>,
    answered: bool,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.clients.open.borrow_mut().remove(&self.name);
        self.clients.figures.current.dec();
        if self.answered {
            return;
        }
        let left = ToModule::Left { inv: self.inv };
        if let Err(mpsc::error::TrySendError::Full(left)) = self.to.try_send(left) {
            let module = self.to.clone();
            tokio::task::spawn_local(async move { module.send(left).await.ok() });
        }
    }
}
