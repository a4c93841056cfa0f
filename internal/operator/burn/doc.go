// Package burn counts the results of requests and reports them against the
// entries' service-level objectives: error budgets, burn rates, and figures on
// cost, latency and version moves.
//
// Each instance keeps cumulative counters and, in a Recorder, their past
// values: one per minute for the last hour and one per hour for the last day.
// From these, Metrics exposes the counts of the last 5 minutes, hour and day on /metrics,
// so that a report needs one scrape and no external history. The history of
// an instance is lost when it stops; the report states the time that its windows
// cover.
package burn
