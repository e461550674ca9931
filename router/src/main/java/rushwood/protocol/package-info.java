/**
 * Version 3 of PostgreSQL's protocol, as state machines that process bytes and do not depend on
 * sockets.
 *
 * <p>{@link rushwood.protocol.FrontendProtocol} handles connections of clients, {@link
 * rushwood.protocol.BackendProtocol} connections to hosts. Both split their input into messages
 * with {@link rushwood.protocol.MessageReader} and encode messages with {@link
 * rushwood.protocol.MessageWriter}. {@code rushwood.net} connects them to sockets; this package
 * does not depend on that one.
 *
 * <p>The classes are not thread-safe: an instance must be used only on the event loop of its
 * connection. Buffers are reference-counted; a method that takes ownership of a buffer is
 * responsible for its release.
 */
@NullMarked
package rushwood.protocol;

import org.jspecify.annotations.NullMarked;
