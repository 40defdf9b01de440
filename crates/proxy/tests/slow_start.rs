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
