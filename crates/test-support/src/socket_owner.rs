//! Finds out which process owns a connection on loopback. Linux only.

use std::{
    fs, io,
    net::{SocketAddrV4, UdpSocket},
    os::fd::OwnedFd,
};

use socket2::{Domain, Protocol, Socket, Type};

/// `NETLINK_SOCK_DIAG` of `linux/netlink.h`.
const NETLINK_SOCK_DIAG: i32 = 4;
/// `AF_NETLINK` of `sys/socket.h`.
const AF_NETLINK: i32 = 16;
/// `SOCK_DIAG_BY_FAMILY` of `linux/sock_diag.h`: the type of the request and of its answer.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
/// `NLM_F_REQUEST` of `linux/netlink.h`.
const NLM_F_REQUEST: u16 = 1;
/// Length of a request: `nlmsghdr` and `inet_diag_req_v2`.
const REQUEST_BYTES: u32 = 72;
/// Offset of `idiag_inode` in an answer, after `nlmsghdr`.
const INODE_OFFSET: usize = 84;

/// Whether one of `processes` owns the end at `local` of the connection between `local` and `remote`.
///
/// # Errors
///
/// The system can't be asked.
pub fn is_owned_by(
    processes: &[u32],
    local: SocketAddrV4,
    remote: SocketAddrV4,
) -> io::Result<bool> {
    let Some(inode) = inode_of(local, remote)? else { return Ok(false) };
    let name = format!("socket:[{inode}]");
    Ok(processes.iter().any(|process| {
        let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
        let mut targets = files.flatten().filter_map(|it| fs::read_link(it.path()).ok());
        targets.any(|target| target.as_os_str() == name.as_str())
    }))
}

/// The inode of the socket at `local`; `None` if the connection is gone.
fn inode_of(local: SocketAddrV4, remote: SocketAddrV4) -> io::Result<Option<u32>> {
    let netlink =
        Socket::new(Domain::from(AF_NETLINK), Type::RAW, Some(Protocol::from(NETLINK_SOCK_DIAG)))?;
    // Any socket can be read and written through this type.
    let netlink = UdpSocket::from(OwnedFd::from(netlink));
    netlink.send(&request(local, remote))?;
    let mut answer = [0; 1024];
    let length = netlink.recv(&mut answer)?;
    let field = |at: usize| u32::from_ne_bytes(answer[at..at + 4].try_into().expect("four bytes"));
    let kind = u16::from_ne_bytes([answer[4], answer[5]]);
    let is_found = kind == SOCK_DIAG_BY_FAMILY && length >= INODE_OFFSET + 4;
    Ok(is_found.then(|| field(INODE_OFFSET)))
}

fn request(local: SocketAddrV4, remote: SocketAddrV4) -> Vec<u8> {
    let mut bytes = Vec::new();
    // nlmsghdr: length, type, flags, sequence number, port.
    bytes.extend(REQUEST_BYTES.to_ne_bytes());
    bytes.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    bytes.extend(NLM_F_REQUEST.to_ne_bytes());
    bytes.extend([0; 8]);
    // inet_diag_req_v2: AF_INET, IPPROTO_TCP, no extensions, all states.
    bytes.extend([2, 6, 0, 0]);
    bytes.extend(u32::MAX.to_ne_bytes());
    // inet_diag_sockid: ports, addresses of 16 bytes each, no interface, no cookie.
    bytes.extend(local.port().to_be_bytes());
    bytes.extend(remote.port().to_be_bytes());
    for address in [local, remote] {
        bytes.extend(address.ip().octets());
        bytes.extend([0; 12]);
    }
    bytes.extend(0_u32.to_ne_bytes());
    bytes.extend([u8::MAX; 8]);
    bytes
}
