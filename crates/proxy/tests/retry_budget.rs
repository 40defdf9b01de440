//! The retry budget of several proxies together.

use damsonbeam_proxy::retry_budget::RetryBudget;

#[test]
fn ten_proxies_whose_every_request_fails_stay_within_the_budget_of_all() {
    let (ratio, slack) = (0.2, 60.0);
    let mut all: Vec<RetryBudget> = (0..10).map(|_| RetryBudget::new(ratio, slack)).collect();
    all.iter_mut().for_each(|proxy| proxy.set_proxies(10));
    let round = |all: &mut Vec<RetryBudget>, fails: bool| {
        let mut retries = 0;
        for proxy in all.iter_mut() {
            proxy.earn("s");
            retries += u32::from(fails && proxy.spend("s"));
        }
        retries
    };
    // Saved up in quiet times, then all fails: in no window more than the ratio of its requests and the slack.
    assert_eq!((0..1000).map(|_| round(&mut all, false)).sum::<u32>(), 0);
    let retries: u32 = (0..300).map(|_| round(&mut all, true)).sum();
    assert!(
        f64::from(retries) <= ratio * 3000.0 + slack,
        "{retries} retries"
    );
    assert!(
        f64::from(retries) >= 0.6 * ratio * 3000.0,
        "{retries} retries are too few"
    );
}
