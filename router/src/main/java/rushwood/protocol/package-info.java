/**
 * What is spoken: state machines fed bytes that know no socket, and thin handlers that read and
 * write.
 */
package rushwood.protocol;
