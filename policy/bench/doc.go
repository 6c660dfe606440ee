// Package bench measures the policy over fakes with a virtual clock and fixed
// seeds. All of it stands in its tests: an ordinary test run checks the promises
// and docs/POLICY.md has the command that prints its table.
package bench
