// Package bench measures the policy in a discrete-event simulation with a
// virtual clock, fake endpoints and fixed seeds. It consists of tests only: an
// ordinary test run checks the targets for waits and shares and compares the
// starts with those of package naive. The command in docs/POLICY.md prints the
// table of that page.
package bench
