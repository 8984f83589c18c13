// Package caller is the Go client of cassialoom.
//
// A Client sends requests to any of the nodes that it is given. What it
// promises for each request:
//
//   - The error, if any, is a *verdict.Error, and its verdict speaks of the
//     whole request with all attempts made for it: "not run" only if none of
//     them ran, "ran" if at least one did. A doubt once raised is kept: an
//     attempt without an answer followed by one that was refused is "may have
//     run", because the first may still be on its way.
//   - An attempt follows another only where it is safe: after "not run", or if
//     the request has a key, or if it is marked as idempotent. The key never
//     changes while there is a doubt.
//   - Attempts are bounded for each request (Config.Attempts) and, over all
//     requests, to a share of them (Config.Retry): callers that all resend
//     keep an overload going after its cause has passed.
//   - Retry-After is heeded, with jitter on top. If it points past the
//     deadline, the error is returned at once rather than waited for.
//   - An answer is returned only if it is complete.
//
// At-most-once: set Request.MintKey. The client then sends the request under a
// key minted by a node, which names the one node that may run it, so it may be
// sent again until the key expires and is not run twice. Minted keys are
// fetched ahead, so that they cost no round trip. Request.Key is for a key of
// the caller's own, which lasts longer than this process; it costs the node an
// append to the platform's log.
//
// A request with neither a key nor Idempotent set is attempted again only
// after "not run". Nobody protects it if the program itself sends it again.
package caller
