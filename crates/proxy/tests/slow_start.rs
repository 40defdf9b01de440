//! Tests of the requests that eager proxies together send to a backend that warms up.

use std::time::Duration;

use damsonbeam::interface::BackendId;
use damsonbeam_proxy::slow_start::{SlowStart, WarmUp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Simulates proxies that send whenever they may; returns the most requests that the backend
/// receives in any second of its warm-up.
fn max_requests_in_a_second(proxy_count: u32, rate_per_s: f64) -> usize {
    let mut random = SmallRng::seed_from_u64(7);
    let backend = BackendId(1);
    let warm_up = WarmUp {
        remaining: Duration::from_secs(3),
        rate_per_s,
    };
    let mut proxies: Vec<SlowStart> = (0..proxy_count)
        .map(|_| {
            let mut slow_start = SlowStart::default();
            slow_start.set_proxy_count(proxy_count);
            slow_start.record_warm_up(backend, warm_up, random.random(), Duration::ZERO);
            slow_start
        })
        .collect();
    let mut sent = Vec::new();
    for ms in 0..3300 {
        for slow_start in &mut proxies {
            if slow_start.take_turn(backend, Duration::from_millis(ms)) {
                sent.push(ms);
            }
        }
    }
    let in_second = |from: u64| {
        sent.iter()
            .filter(|ms| (from..from + 1000).contains(*ms))
            .count()
    };
    sent.iter().map(|from| in_second(*from)).max().unwrap_or(0)
}

#[test]
fn eager_proxies_together_stay_within_the_warm_up_rate_of_a_backend() {
    // The bound is 1.5 times the rate plus 5, or plus 8 for the largest number of proxies.
    assert!(max_requests_in_a_second(10, 20.0) <= 35, "10 proxies");
    assert!(max_requests_in_a_second(12, 6.7) <= 15, "12 proxies");
    assert!(max_requests_in_a_second(69, 20.0) <= 38, "69 proxies");
}

#[test]
fn backend_that_opens_right_after_an_announcement_is_announced_again() {
    let at = Duration::from_millis;
    let backend = BackendId(1);
    let warm_up = WarmUp {
        remaining: at(2200),
        rate_per_s: 20.0,
    };
    let mut slow_start = SlowStart::default();
    slow_start.set_proxy_count(1);
    slow_start.record_warm_up(backend, warm_up, 0.1, at(0));
    slow_start.record_announcement(at(0));
    assert!(!slow_start.is_open(backend, at(0)));
    // The first turn comes 5 ms later, before the next check.
    assert!(slow_start.needs_announcement(at(25)));
    slow_start.record_announcement(at(25));
    assert!(!slow_start.needs_announcement(at(50)));
    assert!(slow_start.take_turn(backend, at(50)));
    slow_start.record_closing(backend);
    // Another turn is due before a check sees the backend closed.
    assert!(slow_start.needs_announcement(at(100)));
}

#[test]
fn backend_that_was_closed_at_the_end_of_its_warm_up_is_announced() {
    let at = Duration::from_millis;
    let backend = BackendId(1);
    let warm_up = WarmUp {
        remaining: at(2200),
        rate_per_s: 1.0,
    };
    let mut slow_start = SlowStart::default();
    slow_start.set_proxy_count(30);
    slow_start.record_warm_up(backend, warm_up, 1.0, at(0));
    slow_start.record_announcement(at(0));
    assert!(!slow_start.needs_announcement(at(2500)));
    assert!(slow_start.needs_announcement(at(2600)));
}
