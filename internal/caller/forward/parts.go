package forward

import "wasabiworks.example/wasabiworks/internal/decide/route"

// sharedParts returns the IDs of the parts that requests may share: all but the
// last one, which belongs to the request or its session.
func sharedParts(parts []route.Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	ids := make([]uint64, len(parts)-1)
	for i := range ids {
		ids[i] = parts[i].ID
	}
	return ids
}

// loss returns the description of an attempt without a complete response.
func (e *exchange) loss(a *attempt) Loss {
	return Loss{
		Server: a.server.ID, Address: a.server.Address, Incarnation: a.server.Incarnation,
		Fingerprint: e.fingerprint, Parts: sharedParts(e.prompt.Parts), Events: a.events,
	}
}
