//! The I/O that joins the parts of sesamegap, and its binaries.
