//! Links before backends that delay what passes, in both directions and in order.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::connection::reset_on_close;

const BUFFER_BYTES: usize = 32 << 10;

/// A relay before a backend. Each piece waits for the link's delay before it is passed on, so that a long message is
/// slower as well.
pub struct Link {
    pub address: SocketAddr,
    delay_ms: AtomicU64,
}

impl Link {
    pub fn start(backend: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let link = Arc::new(Link {
            address: listener.local_addr().expect("bound"),
            delay_ms: AtomicU64::new(0),
        });
        let accepting = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let Ok(far) = TcpStream::connect(backend) else {
                    reset_on_close(&near);
                    continue;
                };
                accepting.relay(near, far);
            }
        });
        link
    }

    pub fn set_delay(&self, delay: Duration) {
        let delay_ms = delay.as_millis() as u64;
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Passes on what comes from either side until both have ended.
    fn relay(self: &Arc<Self>, near: TcpStream, far: TcpStream) {
        for socket in [&near, &far] {
            socket.set_nodelay(true).ok();
        }
        let copies = (near.try_clone(), far.try_clone());
        let (Ok(near_copy), Ok(far_copy)) = copies else {
            return;
        };
        let (there, back) = (self.clone(), self.clone());
        thread::spawn(move || there.carry(near, far));
        thread::spawn(move || back.carry(far_copy, near_copy));
    }

    /// Passes on what comes from one side. An end is passed on as an end, a reset as a reset.
    fn carry(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buffer);
            let delay_ms = self.delay_ms.load(Ordering::Relaxed);
            thread::sleep(Duration::from_millis(delay_ms));
            match read {
                Ok(0) => {
                    to.shutdown(Shutdown::Write).ok();
                    return;
                }
                Ok(length) if to.write_all(&buffer[..length]).is_ok() => {}
                _ => return reset_both(&from, &to),
            }
        }
    }
}

/// Resets both connections, and wakes the thread that reads the other direction.
fn reset_both(from: &TcpStream, to: &TcpStream) {
    for socket in [from, to] {
        reset_on_close(socket);
        socket.shutdown(Shutdown::Read).ok();
    }
}
