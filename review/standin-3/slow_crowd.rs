//! RECOVER: a crowd of clients that send bodies of legal size piece by piece takes all connections of an
//! entry instance.

#[path = "common.rs"]
mod common;

use std::{
    env,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::*;

/// Processes of the crowd, and connections of each.
const CROWDS: usize = 4;
const CONNECTIONS: usize = 160;
/// Length of a body; the configuration allows 4 MiB.
const BODY_BYTES: usize = 1 << 20;
const PIECE_BYTES: usize = 200;
const PIECE_INTERVAL_MS: u64 = 400;
/// Time for which the crowd sends.
const CROWD_MS: u64 = 14_000;
/// Ordinary clients; the rule asks for seven.
const CLIENTS: usize = 8;
/// `contactMs` of the sheet `vwd-voerplan-grown`, which is longer than that of `kt-medlar`.
const CONTACT_MS: u64 = 6_000;

/// The main function of a crowd process, if this is one.
fn run_crowd_if_asked() {
    let args: Vec<String> = env::args().collect();
    if args.get(1).map(String::as_str) != Some("crowd") {
        return;
    }
    let front: SocketAddr = args[2].parse().unwrap();
    let until = Instant::now() + Duration::from_millis(CROWD_MS);
    let mut open = Vec::new();
    for number in 0..CONNECTIONS {
        let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
            continue;
        };
        let head = format!(
            "POST /stream/a HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: crowd-{}-{number}\r\n\
             content-length: {BODY_BYTES}\r\n\r\n",
            args[3]
        );
        if stream.write_all(head.as_bytes()).is_ok() && stream.set_nonblocking(true).is_ok() {
            open.push((stream, 0));
        }
    }
    println!("{} connections opened", open.len());
    let piece = [b'a'; PIECE_BYTES];
    while Instant::now() < until {
        open.retain_mut(|(stream, sent)| {
            let is_closed = match stream.read(&mut [0; 512]) {
                Ok(0) => true,
                Ok(_) => false,
                Err(error) => error.kind() != ErrorKind::WouldBlock,
            };
            if !is_closed && *sent + PIECE_BYTES < BODY_BYTES {
                *sent += stream.write(&piece).unwrap_or(0);
            }
            !is_closed
        });
        sleep_ms(PIECE_INTERVAL_MS);
    }
    println!("{} connections still open at the end", open.len());
    std::process::exit(0)
}

fn main() {
    run_upstream_if_asked();
    run_crowd_if_asked();
    let record = Record::create();
    let mut deployment = Deployment::start(1, VWD_VOERPLAN);
    deployment.configure(&configuration(2.7));
    let upstream = UpstreamSpec {
        id: "i-201".into(),
        service: "medlar-pool".into(),
        address: deployment.upstream(201),
        version: "v1".into(),
        control: (1..=3).map(|host| deployment.control(host)).collect(),
        cold_ms: 0,
        announces: true,
        cold_limit: 0,
    }
    .start(&record);
    sleep_ms(6_000);

    let (front, readiness) = (deployment.front(101), deployment.readiness(101));
    let mut crowds = Vec::new();
    if has_trouble() {
        record.note(&format!(
            "disruption: {} clients send bodies of {BODY_BYTES} bytes, {PIECE_BYTES} bytes every {PIECE_INTERVAL_MS} ms",
            CROWDS * CONNECTIONS
        ));
        for number in 0..CROWDS {
            let child = Command::new(env::current_exe().unwrap())
                .args(["crowd", &front.to_string(), &number.to_string()])
                .stdin(Stdio::null())
                .stdout(Stdio::piped())
                .spawn()
                .unwrap_or_else(|error| give_up(&error.to_string()));
            crowds.push(child);
        }
        sleep_ms(1_000);
    }
    // When an ordinary client's new connection was served, and when the machine said that it is ready.
    let began = unix_ms();
    let served = Arc::new(Mutex::new(vec![began]));
    let tries = Arc::new(Mutex::new((0, 0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, served, tries) = (record.clone(), served.clone(), tries.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if unix_ms() - began > CROWD_MS - 2_000 {
                        break;
                    }
                    let id = format!("c{client}n{number:03}");
                    let request = Request::new("GET", "/safe/a")
                        .header("x-attempt-id", &id)
                        .header("x-deadline-ms", "2500");
                    let answer = request.send(front, Duration::from_millis(2_500));
                    let status = answer.map_or(0, |it| it.status);
                    record.note(&format!("client's {id} is answered {status}"));
                    let mut tries = tries.lock().unwrap();
                    tries.0 += 1;
                    if status > 0 {
                        served.lock().unwrap().push(unix_ms());
                        tries.1 += 1;
                    }
                    drop(tries);
                    sleep_ms(200);
                }
            })
        })
        .collect();
    let mut not_ready = 0;
    while unix_ms() - began < CROWD_MS - 2_000 {
        let answer = Request::new("GET", "/readyz").send(readiness, Duration::from_secs(1));
        let status = answer.map_or(0, |it| it.status);
        record.note(&format!("GET /readyz is answered {status}"));
        not_ready += usize::from(status != 200);
        sleep_ms(1_000);
    }
    clients.into_iter().for_each(|it| it.join().unwrap());
    let ended = unix_ms();
    for child in crowds {
        let output = child.wait_with_output().unwrap();
        for line in String::from_utf8_lossy(&output.stdout).lines() {
            record.note(&format!("crowd: {line}"));
        }
    }
    let mut times = served.lock().unwrap().clone();
    times.push(ended);
    times.sort();
    let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0);
    let (all, answered) = *tries.lock().unwrap();
    let all_run = deployment.all_run();
    let summary = format!(
        "longest time without a new connection that was served: {longest} ms (allowed: {CONTACT_MS}); \
         {answered} of {all} ordinary requests were answered; answers of /readyz other than 200: \
         {not_ready}; all processes run: {all_run}"
    );
    drop(upstream);
    record.finish(longest > CONTACT_MS && not_ready == 0, deployment, &summary)
}
