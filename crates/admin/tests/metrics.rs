//! The exported text of the metrics.

use damsonbeam_admin::Metrics;

#[test]
fn text_has_each_metric_with_its_exported_name_and_value() {
    let metrics = Metrics::new().unwrap();
    metrics.register_operation("C");
    metrics
        .clone()
        .answered
        .with_label_values(&["C"])
        .inc_by(812);
    metrics.current.set(14);
    metrics.sends.inc();
    let text = String::from_utf8(metrics.encode()).unwrap();
    for line in [
        "gateway_answered{group=\"C\"} 812",
        "gateway_deferred{group=\"C\"} 0",
        "gateway_current 14",
        "gateway_sends 1",
        "gateway_conf_invalid 0",
        "gateway_cluster_unhealthy 0",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in {text}");
    }
}
