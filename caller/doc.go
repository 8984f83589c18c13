// Package caller is the Go client of cassialoom.
//
// A Client sends requests to any of the configured nodes. For each request it
// guarantees:
//
//   - An error is a *verdict.Error whose verdict covers all attempts of the
//     request: "not run" only if no attempt ran, "ran" if at least one did. An
//     attempt without an answer followed by a refused one gives "may have run",
//     because the first may still arrive at a node.
//   - The client retries only where it is safe: after "not run", if the request
//     has a key, or if it is marked as idempotent. It doesn't change the key
//     while an attempt may have run.
//   - Attempts are limited for each request (Config.Attempts) and, over all
//     requests, to a share of them (Config.Retry), so that retries don't sustain
//     an overload.
//   - The client waits for Retry-After with jitter added. If that exceeds the
//     deadline, it returns the error at once.
//   - It returns only complete answers.
//
// For at-most-once execution set Request.MintKey. The client then sends the
// request with a key minted by a node. The key names the only node that may run
// the request, so resends until the key expires don't run it twice. The client
// fetches minted keys in advance, so that a request doesn't wait for them.
// Request.Key is for a key of the caller's own, which may outlive this process;
// it costs the node an append to the platform's log.
//
// A request with neither a key nor Idempotent set is retried only after "not
// run". If the program itself sends it again, it may run twice.
package caller
