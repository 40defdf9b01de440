//! The persistent connections: those opened by proxies, and the one to the store on this machine.

use std::time::Duration;

use damsonbeam_control::link;
use damsonbeam_control::messages::Message;
use damsonbeam_control::settings::InternalPort;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::RETRY_PAUSE;
use crate::registry::SharedRegistry;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without a message after which the connection to the store is closed. The store has no heartbeats and sends only
/// on events. A long limit is safe because the store runs on the same machine: no network failure can be behind its
/// silence.
const STORE_SILENCE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Accepts connections of proxies and processes their messages.
pub(crate) async fn accept_proxies(registry: SharedRegistry, listener: TcpListener) {
    for link in 1u64.. {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        link::configure(&stream);
        let registry = registry.clone();
        tokio::task::spawn_local(async move {
            let (mut reader, sender) = link::into_reader_and_sender(stream);
            while let Ok(message) = reader.next::<Message>(link::LINK_TIMEOUT).await {
                registry
                    .borrow_mut()
                    .receive_from_proxy(link, &sender, message);
            }
            registry.borrow_mut().proxy_disconnected(link);
        });
    }
}

/// Connects to the store and processes its messages; reconnects for as long as the process runs.
pub(crate) async fn keep_store_connected(registry: SharedRegistry) {
    let address = {
        let registry = registry.borrow();
        let settings = registry.settings();
        settings.internal_address(settings.ip_address, InternalPort::Store)
    };
    loop {
        if let Ok(stream) = link::connect(address, CONNECT_TIMEOUT).await {
            let (mut reader, sender) = link::into_reader_and_sender(stream);
            registry.borrow_mut().store_connected(sender);
            while let Ok(message) = reader.next::<Message>(STORE_SILENCE_TIMEOUT).await {
                registry.borrow_mut().receive_from_store(message);
            }
            registry.borrow_mut().store_disconnected();
        }
        sleep(RETRY_PAUSE).await;
    }
}
