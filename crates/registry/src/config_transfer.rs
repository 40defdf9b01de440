//! What proxies are told of the configuration and of the backends, in messages of bounded size.

use damsonbeam_control::items::Item;
use damsonbeam_control::messages::{BackendSnapshot, Message};
use damsonbeam_control::transfer::{self, CHUNKS_IN_FLIGHT, TransferMessage};

use crate::state::Registry;

/// Backends in one message at most: their entries take about 100 bytes each.
const BACKENDS_PER_PAGE: usize = 512;

impl Registry {
    /// A proxy compares its items with this registry's, or asks for some. Without all that its store has decided, the
    /// registry is no source: a proxy would take a part for the whole.
    pub(crate) fn answer_transfer(&mut self, link: u64, message: &TransferMessage) {
        if !self.has_all_items {
            return;
        }
        let reply = transfer::answer(&self.snapshot, message);
        if let (Some(reply), Some(proxy)) = (reply, self.proxies.get(&link)) {
            proxy.out.send(&Message::Transfer(reply));
        }
    }

    /// Items that were just decided. Of more than a few messages of them each proxy is only told that there are some,
    /// and fetches them at its pace, from one registry.
    pub(crate) fn push_items(&mut self, items: Vec<Item>) {
        if !self.has_all_items {
            return;
        }
        let pieces = transfer::split_items(items);
        let links: Vec<u64> = self
            .proxies
            .iter()
            .filter(|p| self.tells(&p.1.status))
            .map(|p| *p.0)
            .collect();
        for link in links {
            let Some(proxy) = self.proxies.get_mut(&link) else {
                continue;
            };
            if pieces.len() > CHUNKS_IN_FLIGHT {
                proxy.out.send(&Message::ConfigChanged);
                continue;
            }
            for items in pieces.iter().cloned() {
                proxy.no += 1;
                proxy.out.send(&Message::ConfigUpdate {
                    no: proxy.no,
                    items,
                });
            }
        }
    }
}

/// The list in pages of the same term and reading; one at least.
pub(crate) fn pages(list: &BackendSnapshot) -> Vec<BackendSnapshot> {
    let page = |servers: &[_]| BackendSnapshot {
        servers: servers.to_vec(),
        ..*list
    };
    if list.servers.is_empty() {
        return vec![page(&[])];
    }
    list.servers.chunks(BACKENDS_PER_PAGE).map(page).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use damsonbeam_control::messages::{Server, pack};

    #[test]
    fn pages_are_bounded_and_together_the_list() {
        let server = |n: usize| Server {
            id: format!("instance-{n:08}"),
            service: format!("service-with-a-long-name-{}", n % 97),
            at: ([10, 1, (n / 250) as u8, (n % 250) as u8], 8080),
            zone: format!("region-{}-a", n % 5),
            slots: 6,
            draining: n.is_multiple_of(9),
            cold_ms: 0,
        };
        let list = BackendSnapshot {
            term: 3,
            reading: 7,
            servers: (0..5_300).map(server).collect(),
        };
        let pages = pages(&list);
        assert!(
            pages
                .iter()
                .all(|page| pack(page).len() <= transfer::CHUNK_BYTES)
        );
        assert!(pages.iter().all(|page| (page.term, page.reading) == (3, 7)));
        let servers: Vec<Server> = pages.into_iter().flat_map(|page| page.servers).collect();
        assert_eq!(servers, list.servers);
        assert_eq!(super::pages(&BackendSnapshot::default()).len(), 1);
    }
}
