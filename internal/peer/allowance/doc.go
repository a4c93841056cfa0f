// Package allowance enforces workspace allowances that are shared by all
// instances.
//
// Each instance accrues an equal share of a workspace's allowance. In each failure
// domain, the instance that rendezvous hashing selects as the owner of a workspace
// decides on the workspace's uses. The other instances ask the owner, and contribute
// the units of their shares with each request. An owner that runs low collects the
// units of other members of the failure domain, and borrows units from the owners of
// other failure domains. An instance that cannot reach an owner keeps its share and
// decides alone.
//
// Units are removed from the sender's pool before a message is sent. A lost message
// therefore loses units, and no failure makes two instances use the same units.
package allowance
