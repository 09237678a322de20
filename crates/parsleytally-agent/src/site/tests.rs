//! Test of the deployed configuration template.

use std::time::Duration;

use super::config::SiteConfig;

#[test]
fn the_deployed_template_is_accepted() {
    let template = include_str!("../../../../deploy/agent.ini");
    let text = template
        .replace("{{#bounds.evacuate_ms}}\n", "")
        .replace("{{/bounds.evacuate_ms}}\n", "")
        .replace("{{bounds.evacuate_ms}}", "5000")
        .replace("{{node}}", "side-a-1")
        .replace("{{zone}}", "a")
        .replace("{{listen.control}}", "127.0.0.1:8166")
        .replace("{{ip}}", "127.0.0.1")
        .replace("{{internal_ports.0}}", "7720")
        .replace("{{app}}", "127.0.0.1:8165")
        .replace("{{bounds.hold_max_ms}}", "6000")
        .replace("{{platform.address}}", "127.0.0.1:8169");
    let config = SiteConfig::parse(text.as_bytes()).expect("the template is valid");
    let limit = config
        .base
        .evacuation
        .map(|evacuation| evacuation.age_limit());
    assert_eq!(limit, Some(Duration::from_secs(3)));
    assert_eq!(
        (config.worker.port(), config.reports.port()),
        (8_165, 8_166)
    );
}
