/** Experiments: their files, the clients, runs on sockets against router processes, and results. */
package rushwood.testbed.load;
