//! Runs the scripted cases of the review: `lab CASE RECORD`.
//!
//! Starts the project's programs with the commands of `deploy/system.toml` on loopback addresses, and
//! plays operator, clients, servers and platform for them as the users' pages describe these. Exits with
//! 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod case_bodies;
mod case_cold;
mod case_config;
mod case_evacuation;
mod case_shutdown;
mod configuration;
mod deployment;
mod http;
mod record;
mod server;

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    path::PathBuf,
    process::ExitCode,
    thread,
    time::Duration,
};

use record::Record;

/// Result of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Time after which a case is given up; the scripts may run for 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(117);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: lab CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&PathBuf::from(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!("case {case}, trouble: {has_trouble}"));
    let watchdog = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watchdog.note("the case took too long");
        deployment::kill_all();
        std::process::exit(2);
    });
    let result = catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "config" => case_config::run(&record, has_trouble),
        "evacuation" => case_evacuation::run(&record, has_trouble),
        "shutdown" => case_shutdown::run(&record, has_trouble),
        "bodies" => case_bodies::run(&record, has_trouble),
        "cold" => case_cold::run(&record, has_trouble),
        other => panic!("no case is named {other}"),
    }));
    deployment::kill_all();
    match result {
        Ok(Verdict::Held) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.note("the rule was broken");
            ExitCode::from(1)
        }
        Err(_) => {
            record.note("the case could not run");
            ExitCode::from(2)
        }
    }
}
