//go:build review

// Command scenario plays one scripted case of the independent review: it starts
// hornbeam-node processes with the deploy file's command and settings, serves
// stand-ins of the store, the workers and the advice service on loopback, injects
// the case's disruption, and checks the rule by what the stand-ins have seen.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main
