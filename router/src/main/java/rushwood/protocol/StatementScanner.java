package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;

/**
 * A position in the text of a statement, which moves past what is expected next. What is not as
 * expected is a {@link SqlState#SYNTAX_ERROR}.
 */
final class StatementScanner {
  private final ByteBuf text;
  private int position;

  /** Starts at the first byte of the text, whose reader index stays where it is. */
  StatementScanner(ByteBuf text) {
    this.text = text;
    position = text.readerIndex();
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  static ProtocolException syntaxError(String message) {
    return ProtocolException.rejected(SqlState.SYNTAX_ERROR, message);
  }

  /** The index in the buffer of the text. */
  int position() {
    return position;
  }

  boolean isAtEnd() {
    return position == text.writerIndex();
  }

  /** Skips these bytes if they come next; returns whether they did. */
  boolean skipIfNext(byte[] expected) {
    if (text.writerIndex() - position < expected.length) {
      return false;
    }
    for (int i = 0; i < expected.length; i++) {
      if (text.getByte(position + i) != expected[i]) {
        return false;
      }
    }
    position += expected.length;
    return true;
  }

  /** Skips these bytes, which have to come next. */
  void skip(byte[] expected) throws ProtocolException {
    if (!skipIfNext(expected)) {
      int offset = position - text.readerIndex();
      throw syntaxError("not in the form that is served, at byte " + offset);
    }
  }

  /** Skips as many allowed bytes as follow, and returns how many. */
  int skipRun(ByteProcessor allowed) {
    int start = position;
    int end = text.forEachByte(start, text.writerIndex() - start, allowed);
    position = end < 0 ? text.writerIndex() : end;
    return position - start;
  }

  /**
   * Reads as many allowed bytes as follow: at least one, and at most {@code maxLength}.
   *
   * @param kind what is read, for the error; the name follows it there
   */
  String readToken(ByteProcessor allowed, int maxLength, String kind, String name)
      throws ProtocolException {
    int start = position;
    int length = skipRun(allowed);
    if (length == 0 || length > maxLength) {
      throw syntaxError(kind + name + " has " + length + " bytes");
    }
    return text.toString(start, length, StandardCharsets.US_ASCII);
  }
}
