// Package claim tells instances how much work backend servers have from all instances.
//
// Each server has a tracker: one of the strongest instances of its failure domain, which
// all instances find by hashing. Before an instance sends a request to a server, it claims
// a place there from the tracker, and it reports later that the server has processed the
// prompt and that the request has ended. Claims are a hint: if the tracker does not
// respond, the instance decides by what it knows itself.
package claim
