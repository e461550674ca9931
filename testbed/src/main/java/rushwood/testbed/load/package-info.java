/** Experiments on sockets: their file, the clients, the run and its result. */
package rushwood.testbed.load;
