package front

import "context"

// Cloud carries out the calls that are the duty of one instance at a time.
type Cloud interface {
	// ReportUsage reports the requests of each workspace that began in a window.
	ReportUsage(ctx context.Context, fence int64, window int64, counts map[string]int64) error
	// Order asks for a number of servers of a service in a failure domain.
	Order(ctx context.Context, fence int64, service, domain string, desired int, reclaimable bool) error
}
