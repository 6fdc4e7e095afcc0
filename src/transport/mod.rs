//! Transport: HTTP towards callers, upstreams and operators; nng between processes.
