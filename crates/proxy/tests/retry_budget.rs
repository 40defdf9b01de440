//! Tests of the retry budgets of several proxies together.

use damsonbeam_proxy::retry_budget::RetryBudget;

#[test]
fn retries_of_ten_failing_proxies_stay_within_the_shared_budget() {
    let (ratio, slack) = (0.2, 60.0);
    let mut proxies: Vec<RetryBudget> = (0..10).map(|_| RetryBudget::new(ratio, slack)).collect();
    proxies
        .iter_mut()
        .for_each(|proxy| proxy.set_proxy_count(10));
    let send_requests = |proxies: &mut Vec<RetryBudget>, fails: bool| {
        let mut retries = 0;
        for proxy in proxies.iter_mut() {
            proxy.record_request("s");
            retries += u32::from(fails && proxy.try_spend("s"));
        }
        retries
    };
    // Budgets accumulate while all requests succeed, then every request fails: the retries must not
    // exceed `ratio * requests + slack`.
    assert_eq!(
        (0..1000)
            .map(|_| send_requests(&mut proxies, false))
            .sum::<u32>(),
        0
    );
    let retries: u32 = (0..300).map(|_| send_requests(&mut proxies, true)).sum();
    assert!(
        f64::from(retries) <= ratio * 3000.0 + slack,
        "{retries} retries"
    );
    assert!(
        f64::from(retries) >= 0.6 * ratio * 3000.0,
        "only {retries} retries"
    );
}
