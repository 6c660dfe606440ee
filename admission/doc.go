// Package admission decides whether a new job is accepted, and when a caller who is
// refused should return. It takes the figures that the holder publishes of the cell's
// load, the job, and the time; it imports no transport, codec, clock or random source.
//
// Each decision answers a pattern of load:
//
//   - ExceedsEndpoint and ExceedsLimit answer jobs that can never run.
//   - Backlog answers crowds, sustained overload and the loss of endpoints: what is served
//     before the job takes longer than its result is of use.
//   - OverWeight answers a team that floods: what it sends beyond its weight waits behind
//     all other work, so that its own jobs are refused first.
//   - RetryAfter answers outages, and the return of many callers at the same time.
package admission
