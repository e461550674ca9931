/** The interface of the routing policy and its value types; it depends on no other package. */
package rushwood.api;
