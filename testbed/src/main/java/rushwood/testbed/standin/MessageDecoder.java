package rushwood.testbed.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes a byte stream into messages of PostgreSQL's protocol 3. It shares no code with the
 * router's decoder, so that an error there is not hidden by the same error here. A message with an
 * invalid length closes the connection.
 */
public final class MessageDecoder extends ByteToMessageDecoder {
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_MESSAGE_BYTES = 1 << 20;

  private boolean expectStartup;

  private MessageDecoder(boolean expectStartup) {
    this.expectStartup = expectStartup;
  }

  /** Creates a decoder for a server: the first message from the client has no type byte. */
  public static MessageDecoder forServer() {
    return new MessageDecoder(true);
  }

  /** Creates a decoder for a client: all messages from the server have a type byte. */
  public static MessageDecoder forClient() {
    return new MessageDecoder(false);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    int typeBytes = expectStartup ? 0 : 1;
    if (in.readableBytes() < typeBytes + LENGTH_BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex() + typeBytes);
    if (length < LENGTH_BYTES || length > MAX_MESSAGE_BYTES) {
      context.close();
      in.skipBytes(in.readableBytes());
      return;
    }
    if (in.readableBytes() < typeBytes + length) {
      return;
    }
    char type = expectStartup ? ProtocolMessage.STARTUP : (char) in.readByte();
    in.skipBytes(LENGTH_BYTES);
    CharSequence body = in.readCharSequence(length - LENGTH_BYTES, StandardCharsets.ISO_8859_1);
    out.add(new ProtocolMessage(type, body.toString()));
    expectStartup = false;
  }
}
