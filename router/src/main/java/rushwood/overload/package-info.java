/**
 * Storms: seen, damped towards hosts, told to clients. No I/O, no threads and no clock: time is
 * passed in, chance is seeded. The decisions ask it through rushwood.api.Crowd, the network code
 * asks it at the door and before dialling.
 */
package rushwood.overload;
