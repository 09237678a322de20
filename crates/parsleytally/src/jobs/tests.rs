//! Tests of jobs.
