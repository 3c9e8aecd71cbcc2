//! The sheet that describes a fleet.

use std::fmt::Write as _;

use super::{Fleet, MODEL, Plan, SERVICE};

impl Fleet {
    /// Builds the sheet that describes this fleet, with a grant of each service for each team.
    pub fn build_sheet(&self) -> String {
        let mut sheet = String::from(
            "record;name;share;rate;burst;service;domain;kind;open;repeatable;address;fenced\n",
        );
        let mut push_line = |text: String| {
            let _infallible = writeln!(sheet, "{text}");
        };
        let domains = &self.plan.domains;
        for (index, domain) in domains.iter().enumerate() {
            // The last share absorbs the rounding, so that the shares add up to 1.
            let fraction = (1_000_000 / domains.len()) as f64 / 1_000_000.0;
            let last = 1.0 - fraction * (domains.len() - 1) as f64;
            let share = if index + 1 == domains.len() { last } else { fraction };
            push_line(format!("domain;{domain};{share:.6};;;;;;;;;"));
        }
        for (team, rate, burst) in &self.plan.teams {
            push_line(format!("team;{team};;{rate};{burst};;;;;;;"));
        }
        let repeatable = if self.plan.repeatable { "yes" } else { "no" };
        push_line(format!("service;{MODEL};;;;;;model;no;yes;;"));
        push_line(format!("service;{SERVICE};;;;;;plain;no;{repeatable};;"));
        for (team, ..) in &self.plan.teams {
            push_line(format!("grant;{team};;;;{MODEL};;;;;;"));
            push_line(format!("grant;{team};;;;{SERVICE};;;;;;"));
        }
        for engine in &self.engines {
            let (domain, role) = domain_and_role(&self.plan, &engine.name);
            let address = engine.listed;
            push_line(format!(
                "upstream;{};;;;{MODEL};{domain};{role};;;{address};no",
                engine.name
            ));
        }
        for service in &self.services {
            let (domain, _app) = domain_and_role(&self.plan, &service.name);
            let address = service.listed;
            push_line(format!(
                "upstream;{};;;;{SERVICE};{domain};plain;;;{address};no",
                service.name
            ));
        }
        sheet
    }
}

/// Returns the domain and the role of an upstream, which its name contains.
fn domain_and_role<'a>(plan: &'a Plan, name: &'a str) -> (&'a str, &'a str) {
    let domain = plan.domains.iter().find(|domain| name.starts_with(domain.as_str()));
    let domain = domain.map_or("", String::as_str);
    let role = if name.contains("-prefill-") { "prefill" } else { "decode" };
    (domain, role)
}
