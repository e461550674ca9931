package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Strings that end with a zero byte, as the protocol's messages hold them. */
final class CString {
  private CString() {}

  /**
   * Reads a string and its zero byte.
   *
   * @throws ProtocolException that is fatal, if there is no zero byte
   */
  static String read(ByteBuf message) throws ProtocolException {
    int start = message.readerIndex();
    int end = message.indexOf(start, message.writerIndex(), (byte) 0);
    if (end < 0) {
      throw ProtocolException.protocolViolation("a text without its zero");
    }
    message.readerIndex(end + 1);
    return message.toString(start, end - start, StandardCharsets.UTF_8);
  }
}
