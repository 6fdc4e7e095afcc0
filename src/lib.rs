//! An inference gateway for several regions.
