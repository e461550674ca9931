package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Reads the null-terminated strings of protocol messages. */
final class CString {
  private CString() {}

  /**
   * Reads a UTF-8 string and its terminator.
   *
   * @throws ProtocolException (fatal) if the message contains no terminator
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
