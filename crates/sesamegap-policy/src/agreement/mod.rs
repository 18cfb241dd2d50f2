//! Rules by which processes agree through the log.
