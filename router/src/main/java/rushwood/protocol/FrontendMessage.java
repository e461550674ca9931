package rushwood.protocol;

import io.netty.buffer.ByteBuf;

/**
 * A message of a client.
 *
 * @param type one of {@link FrontendMessageType}, or {@link MessageLimits#STARTUP_TYPE}
 * @param body the body, empty if it is not needed or was not stored. Not retained: valid until the
 *     next message is read or more input arrives.
 * @param isRefused whether this is a query that was not stored because memory was short
 */
record FrontendMessage(char type, ByteBuf body, boolean isRefused) {}
