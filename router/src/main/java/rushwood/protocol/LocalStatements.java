package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * The statements that the router answers itself, without a host: {@code SHOW counters}, and the
 * empty statement, which asks whether the router is ready.
 */
final class LocalStatements {
  private static final String SHOW_COUNTERS = "SHOW COUNTERS";

  /** With a semicolon and a space. */
  private static final int MAX_LENGTH = SHOW_COUNTERS.length() + 2;

  private final FrontendCallbacks callbacks;

  LocalStatements(FrontendCallbacks callbacks) {
    this.callbacks = callbacks;
  }

  /**
   * Writes the answer, up to ReadyForQuery, if this is such a statement.
   *
   * @return whether it is one
   * @throws ProtocolException that is not fatal, if the statement is empty and the router is not
   *     ready
   */
  boolean answer(ByteBuf text, ByteBuf out) throws ProtocolException {
    if (text.readableBytes() > MAX_LENGTH) {
      return false;
    }
    switch (normalize(text)) {
      case SHOW_COUNTERS -> {
        MessageWriter.writeRowDescription(out, "counter", "value");
        MessageWriter.writeCommandComplete(out, "SELECT " + callbacks.writeCounters(out));
      }
      case "" -> {
        if (!callbacks.isReady()) {
          throw ProtocolException.rejected(SqlState.CANNOT_CONNECT_NOW, "not ready yet");
        }
        MessageWriter.writeEmptyQueryResponse(out);
      }
      default -> {
        return false;
      }
    }
    MessageWriter.writeReadyForQuery(out);
    return true;
  }

  private static String normalize(ByteBuf text) {
    return text.toString(StandardCharsets.UTF_8).replace(';', ' ').strip().toUpperCase(Locale.ROOT);
  }
}
