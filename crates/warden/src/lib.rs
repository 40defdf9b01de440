//! The registry. Free of I/O: the counts (`tally`), where clients go (`guide`), what a call is (`calls`), the
//! platform's list (`list`). `main` carries.

pub mod calls;
pub mod guide;
pub mod list;
pub mod tally;
