/**
 * Stand-ins on loopback: hosts that speak PostgreSQL's protocol 3, the discovery agent, a router as
 * a process.
 */
package rushwood.testbed.standin;
