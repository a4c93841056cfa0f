// Package route chooses the backend server for a request.
//
// A Policy chooses among Backends, whose load the servers report; packages
// caller/openai and caller/services use it. ChoosePrompt and ChooseService choose
// among Candidates, whose load an instance knows only from its own requests;
// package caller/forward uses them.
package route
