//! The sending side of a stand-in backend's connections.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use socket2::SockRef;

/// The sending side of a connection, shared with the threads that send copies of answers or crash the backend.
#[derive(Clone)]
pub struct Connection(Arc<Mutex<State>>);

struct State {
    /// `None` once nothing more may be sent.
    socket: Option<TcpStream>,
    /// Whether the rest of an answer is still to come.
    is_answer_open: bool,
}

impl Connection {
    pub fn new(socket: TcpStream) -> Self {
        let state = State {
            socket: Some(socket),
            is_answer_open: false,
        };
        Connection(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("not poisoned")
    }

    /// Sends a whole answer; returns `None` if the connection has ended.
    pub fn send(&self, text: &str) -> Option<()> {
        self.state().write(text)
    }

    /// Sends a copy of an earlier answer, unless the rest of another answer is due: a proxy could not tell the two apart.
    pub fn send_copy(&self, text: &str) {
        let mut state = self.state();
        if !state.is_answer_open {
            state.write(text);
        }
    }

    /// Sends the beginning of an answer, which [`Connection::end_with`] completes.
    pub fn begin(&self, text: &str) -> Option<()> {
        let mut state = self.state();
        state.is_answer_open = true;
        state.write(text)
    }

    /// Sends the last bytes of the connection. No copy follows them.
    pub fn end_with(&self, text: &str) -> Option<()> {
        let mut state = self.state();
        let written = state.write(text);
        state.socket = None;
        written
    }

    /// Ends the sending side in order, once all copies of the socket are closed.
    pub fn end(&self) {
        self.state().socket = None;
    }

    /// Ends the connection with a reset: nothing more is sent, and a thread that reads is woken.
    pub fn reset(&self) {
        if let Some(socket) = self.state().socket.take() {
            reset_on_close(&socket);
            socket.shutdown(Shutdown::Read).ok();
        }
    }
}

impl State {
    fn write(&mut self, text: &str) -> Option<()> {
        self.socket.as_mut()?.write_all(text.as_bytes()).ok()
    }
}

/// Makes the socket reset its connection when its last copy is closed.
pub fn reset_on_close(socket: &TcpStream) {
    SockRef::from(socket)
        .set_linger(Some(Duration::ZERO))
        .expect("set");
}
