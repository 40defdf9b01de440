//! What is left of the configuration when the last item of a kind is removed.

use std::net::SocketAddr;

use crate::cluster::{Backend, Cluster, Plan};
use crate::operator::{Outcome, remove_route, try_change};
use crate::{API_KEY_HEADER, TIMING_BOUNDS, get, serves};

const REMOVE_LAST_TENANT: &str =
    r#"{"upserts":{},"removals":{"tenant_list":[{"name":"house","config_version":"r2"}]}}"#;
/// The headers of requests with the tenant's key, with an unknown key and with none.
const KEYS: [&str; 3] = [API_KEY_HEADER, "Authorization: Bearer unknown\r\n", ""];

fn statuses(proxy: SocketAddr) -> [u16; 3] {
    KEYS.map(|key| get(proxy, "/x/", key).status())
}

/// Guards against ROUTE (`review/6`): once the last tenant was removed, proxies served every key. A proxy that is running, one
/// that starts afterwards, and all machines after a restart must refuse them.
#[test]
fn removal_of_the_last_tenant_leaves_no_key_valid() {
    let zones = vec![
        ("a", "east", 1, 1),
        ("b", "west", 0, 1),
        ("c", "west", 0, 1),
    ];
    let plan = Plan {
        zones,
        timing_bounds: TIMING_BOUNDS.to_vec(),
        has_cloud_api: true,
        proxy_args: &[],
    };
    let backends = [Backend::start("i-1", "s", "a")];
    let mut cluster = Cluster::new(plan, &backends);
    cluster.start_configured();
    let proxy = cluster.proxy_addresses()[0];
    cluster.wait_until("the proxy serves", |_| serves(proxy, "/x/"));
    assert_eq!(statuses(proxy), [200, 401, 401]);

    cluster.change_at_any_machine(REMOVE_LAST_TENANT);
    cluster.wait_until("the removal is in force", |_| !serves(proxy, "/x/"));
    assert_eq!(statuses(proxy), [401; 3]);

    cluster.kill(|machine| !machine.is_core);
    cluster.start(false, |machine| !machine.is_core);
    cluster.wait_until("the restarted proxy answers", |_| statuses(proxy)[0] != 0);
    assert_eq!(statuses(proxy), [401; 3]);

    cluster.kill(|_| true);
    cluster.start(false, |_| true);
    cluster.wait_until("the proxy answers after a restart of all", |_| {
        statuses(proxy)[0] != 0
    });
    assert_eq!(statuses(proxy), [401; 3]);

    // The same with the last route: its path is not found, on a proxy that is running and on one that starts.
    let core = cluster.running_core_machines()[0];
    let address = cluster.control_address(core);
    cluster.wait_until("the removal is acknowledged", |_| {
        try_change(address, &remove_route("r-1", 2)) == Outcome::Acknowledged
    });
    cluster.wait_until("the removal is in force", |_| statuses(proxy) == [404; 3]);
    cluster.kill(|machine| !machine.is_core);
    cluster.start(false, |machine| !machine.is_core);
    cluster.wait_until("the restarted proxy answers", |_| statuses(proxy)[0] != 0);
    assert_eq!(statuses(proxy), [404; 3]);
    let executed = backends[0].executed.lock().expect("not poisoned");
    let with_other_keys = executed
        .iter()
        .filter(|request| request.header("x-tenant-name") != Some("house"));
    assert_eq!(with_other_keys.count(), 0);
}
