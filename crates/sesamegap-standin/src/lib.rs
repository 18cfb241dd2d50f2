//! Small stand-ins for the systems that sesamegap meets.
