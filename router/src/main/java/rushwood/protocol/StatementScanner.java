package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;

/**
 * Scans the text of a statement from start to end. Text that does not have the expected form is a
 * {@link SqlState#SYNTAX_ERROR}.
 */
final class StatementScanner {
  private final ByteBuf text;
  private int position;

  /** Starts at the reader index of the text, which the scanner does not move. */
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

  /** Returns the current index in the buffer of the text. */
  int position() {
    return position;
  }

  boolean isAtEnd() {
    return position == text.writerIndex();
  }

  /** Skips the expected bytes if they come next. Returns whether they did. */
  boolean tryConsume(byte[] expected) {
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

  /** Skips the expected bytes, or throws a syntax error if they do not come next. */
  void expect(byte[] expected) throws ProtocolException {
    if (!tryConsume(expected)) {
      int offset = position - text.readerIndex();
      throw syntaxError("not in the form that is served, at byte " + offset);
    }
  }

  /** Skips to the first byte that is not allowed. Returns the number of bytes skipped. */
  int skipWhile(ByteProcessor allowed) {
    int start = position;
    int end = text.forEachByte(start, text.writerIndex() - start, allowed);
    position = end < 0 ? text.writerIndex() : end;
    return position - start;
  }

  /**
   * Reads up to the first byte that is not allowed.
   *
   * @param maxBytes the maximum length of the token; the minimum is 1
   * @param kind the kind of token, for the error message
   * @param name appended to the kind in the error message; may be empty
   * @throws ProtocolException with {@link SqlState#SYNTAX_ERROR} if the length is not allowed
   */
  String readToken(ByteProcessor allowed, int maxBytes, String kind, String name)
      throws ProtocolException {
    int start = position;
    skipToken(allowed, maxBytes, kind, name);
    return text.toString(start, position - start, StandardCharsets.US_ASCII);
  }

  /** Like {@link #readToken}, for a token that is not needed. */
  void skipToken(ByteProcessor allowed, int maxBytes, String kind, String name)
      throws ProtocolException {
    int length = skipWhile(allowed);
    if (length == 0 || length > maxBytes) {
      throw syntaxError(kind + name + " has " + length + " bytes");
    }
  }
}
