/**
 * The laboratory in virtual time: the decisions and the storm module of many routers against models
 * of hosts.
 */
package rushwood.testbed.simulation;
