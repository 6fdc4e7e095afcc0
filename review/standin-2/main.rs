//! Stand-ins for the platform, clients and engines, and the cases that use them.

mod deployment;
mod engine;
mod http;
mod record;

mod case_brittle;
mod case_cold;
mod case_founder;
mod case_parts;
mod case_versions;

use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
    let Ok(record) = Record::create(&path) else { return ExitCode::from(2) };
    let result = match case.as_str() {
        "parts" => case_parts::run(&record, has_trouble),
        "versions" => case_versions::run(&record, has_trouble),
        "cold" => case_cold::run(&record, has_trouble),
        "founder" => case_founder::run(&record, has_trouble),
        "brittle" => case_brittle::run(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    match result {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
