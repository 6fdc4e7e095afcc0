//! The loops that drive the coordination cores.
