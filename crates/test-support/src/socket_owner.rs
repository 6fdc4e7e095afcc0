//! Finds out which process owns a connection on loopback, through `/proc`.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
};

/// Whether one of `processes` owns the end at `local` of the connection between `local` and `remote`.
pub fn is_owned_by(processes: &[u32], local: SocketAddr, remote: SocketAddr) -> bool {
    let Some(inode) = inode_of(local, remote) else { return false };
    let name = format!("socket:[{inode}]");
    processes.iter().any(|process| {
        let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
        let targets = files.flatten().filter_map(|it| fs::read_link(it.path()).ok());
        targets.into_iter().any(|target| target.as_os_str() == name.as_str())
    })
}

/// The inode of the socket at `local`.
fn inode_of(local: SocketAddr, remote: SocketAddr) -> Option<u64> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (table_address(local)?, table_address(remote)?);
    let rows = table.lines().skip(1).map(|line| line.split_ascii_whitespace().collect::<Vec<_>>());
    let row = rows.into_iter().find(|row| row.len() > 9 && row[1] == local && row[2] == remote)?;
    row[9].parse().ok()
}

/// An address as `/proc/net/tcp` writes it: the bytes of the IP address as a number of the machine's byte
/// order, and the port.
fn table_address(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else { return None };
    Some(format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port()))
}
