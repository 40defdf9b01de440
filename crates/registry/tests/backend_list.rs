//! Tests of the platform's list: parsing of its pages, detection of changes, and the pages sent to proxies.

use damsonbeam_control::address::Endpoint;
use damsonbeam_control::messages::{
    Backend, BackendList, BackendListVersion, MAX_CHUNK_BYTES, encode,
};
use damsonbeam_registry::backend_list::{Page, has_changed, next_revision, read_page, split_pages};

#[test]
fn page_is_parsed_completely_and_only_changes_increment_the_revision() {
    let body = br#"{"instances":[{"target_service":"s","address":"10.128.0.9:8080","zone":"z","config_version":"v1","capacity_slots":6,"state":"draining","cold_remaining_ms":1500.5,"id":"i-1"}],"next_page_token":"p-50"}"#;
    let Page {
        backends,
        next_token,
    } = read_page(body.to_vec()).expect("a page");
    assert_eq!(next_token.as_deref(), Some("p-50"));
    assert!(backends[0].draining && backends[0].warm_up_left_ms == 1500);
    let warmed_up_further = vec![Backend {
        warm_up_left_ms: 900,
        ..backends[0].clone()
    }];
    assert!(
        !has_changed(&backends, &warmed_up_further),
        "proxies count down the warm-up themselves"
    );
    assert!(
        has_changed(&warmed_up_further, &backends),
        "the warm-up has started again"
    );
    assert!(read_page(b"{\"instances\":[{}]}".to_vec()).is_err());
    let known = BackendListVersion {
        term: 2,
        revision: 5,
    };
    assert_eq!(
        next_revision(known, 2, false),
        5,
        "proxies have this list already"
    );
    assert_eq!(
        (next_revision(known, 2, true), next_revision(known, 3, true)),
        (6, 1)
    );
}

#[test]
fn split_pages_are_bounded_in_size_and_contain_the_whole_list() {
    let backend = |n: usize| Backend {
        id: format!("instance-{n:08}"),
        service: format!("service-with-a-long-name-{}", n % 97),
        address: Endpoint {
            ip: [10, 1, (n / 250) as u8, (n % 250) as u8],
            port: 8080,
        },
        zone: format!("region-{}-a", n % 5),
        capacity_slots: 6,
        draining: n.is_multiple_of(9),
        warm_up_left_ms: 0,
    };
    let version = BackendListVersion {
        term: 3,
        revision: 7,
    };
    let list = BackendList {
        version,
        backends: (0..5_300).map(backend).collect(),
    };
    let pages = split_pages(&list);
    assert!(
        pages
            .iter()
            .all(|page| encode(page).len() <= MAX_CHUNK_BYTES)
    );
    assert!(pages.iter().all(|page| page.version == version));
    let backends: Vec<Backend> = pages.into_iter().flat_map(|page| page.backends).collect();
    assert_eq!(backends, list.backends);
    assert_eq!(split_pages(&BackendList::default()).len(), 1);
}
