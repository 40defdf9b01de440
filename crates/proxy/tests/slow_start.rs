//! What eager proxies together send to a backend that warms up.

use std::time::Duration;

use damsonbeam::interface::BackendId;
use damsonbeam_proxy::slow_start::{SlowStart, WarmUp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// So many proxies that send whenever they may; the most that a backend gets in any second of its warm-up.
fn most_in_a_second(proxies: u32, rate_per_s: f64) -> usize {
    let mut random = SmallRng::seed_from_u64(7);
    let backend = BackendId(1);
    let warm_up = WarmUp {
        left: Duration::from_secs(3),
        rate_per_s,
    };
    let mut all: Vec<SlowStart> = (0..proxies)
        .map(|_| {
            let mut slow_start = SlowStart::default();
            slow_start.set_proxies(proxies);
            slow_start.learn(backend, warm_up, random.random(), Duration::ZERO);
            slow_start
        })
        .collect();
    let mut sent = Vec::new();
    for ms in 0..3300 {
        for slow_start in &mut all {
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
fn eager_proxies_together_keep_the_bound_of_a_backend_that_warms_up() {
    // The bound: the rate by half again, and 5 (8 for the large fleet).
    assert!(most_in_a_second(10, 20.0) <= 35, "10 proxies");
    assert!(most_in_a_second(12, 6.7) <= 15, "12 proxies");
    assert!(most_in_a_second(69, 20.0) <= 38, "69 proxies");
}
