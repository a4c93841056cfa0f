// Package reach decides whether an instance is partitioned from all backend servers, and
// through which other instance its requests are sent then.
package reach
