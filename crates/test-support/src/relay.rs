//! A TCP relay whose connections can go silent.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Time after which a waiting read looks at the switch again.
const POLL: Duration = Duration::from_millis(50);

/// A switch that several relays share.
#[derive(Debug, Clone, Default)]
pub struct Cut(Arc<AtomicBool>);

impl Cut {
    /// Makes every connection carry no byte any more, the open ones for good.
    pub fn begin(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// Lets new connections work again.
    pub fn heal(&self) {
        self.0.store(false, Ordering::SeqCst);
    }

    fn is_on(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Relays connections from `address` to `target` until the test process ends.
pub fn start(address: SocketAddr, target: SocketAddr, cut: Cut) {
    let listener = TcpListener::bind(address).expect("a free address");
    thread::spawn(move || {
        for from in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || relay(from, target, &cut));
        }
    });
}

fn relay(from: TcpStream, target: SocketAddr, cut: &Cut) {
    let Ok(to) = TcpStream::connect(target) else { return };
    let (Ok(back_from), Ok(back_to)) = (to.try_clone(), from.try_clone()) else { return };
    let is_silent = Arc::new(AtomicBool::new(false));
    let (back_silent, back_cut) = (is_silent.clone(), cut.clone());
    thread::spawn(move || copy(back_from, back_to, &back_silent, &back_cut));
    copy(from, to, &is_silent, cut);
}

/// Copies bytes one way; once the cut was seen, the connection swallows them until it closes.
fn copy(mut from: TcpStream, mut to: TcpStream, is_silent: &AtomicBool, cut: &Cut) {
    let _ = from.set_read_timeout(Some(POLL));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer);
        if cut.is_on() {
            is_silent.store(true, Ordering::SeqCst);
        }
        let is_over = match read {
            Ok(0) => true,
            Ok(count) if !is_silent.load(Ordering::SeqCst) => {
                to.write_all(&buffer[..count]).is_err()
            }
            Ok(_) => false,
            Err(error) => !matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ),
        };
        if is_over {
            let _ = to.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
