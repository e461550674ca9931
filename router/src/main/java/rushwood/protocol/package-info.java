/**
 * PostgreSQL's protocol, version 3, as state machines that are fed bytes and know no socket.
 *
 * <p>{@link rushwood.protocol.FrontendProtocol} speaks with clients, {@link
 * rushwood.protocol.BackendProtocol} with hosts. Both cut their input with {@link
 * rushwood.protocol.MessageReader} and compose messages with {@link
 * rushwood.protocol.MessageWriter}. {@code rushwood.net} connects them to sockets; nothing here
 * depends on that package.
 *
 * <p>Nothing here is thread-safe: each object belongs to the event loop of its connection. Buffers
 * are reference-counted; who receives a buffer that is documented as taken over releases it.
 */
@NullMarked
package rushwood.protocol;

import org.jspecify.annotations.NullMarked;
