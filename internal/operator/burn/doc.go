// Package burn counts what the request path does and reports it against the
// entries' objectives: error budgets, burn rates and the users' measures.
//
// Each instance keeps cumulative counters and, in a Recorder, their past
// values: one a minute for an hour and one an hour for a day. From these,
// Metrics exposes the counts of the last 5 minutes, hour and day on /metrics,
// so that a report needs one scrape and no external history. The history of
// an instance ends with it; the report states how long its windows are.
package burn
