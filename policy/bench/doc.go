// Package bench measures the policy over fakes with a virtual clock and fixed
// seeds. All of it stands in its tests: docs/POLICY.md has the command that prints its table
// and an ordinary test run checks its promises.
package bench
