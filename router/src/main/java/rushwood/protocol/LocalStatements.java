package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Answers the statements that the router handles itself, without a host: {@code SHOW counters}, and
 * the empty statement, with which clients check whether the router is ready.
 */
final class LocalStatements {
  private static final String SHOW_COUNTERS = "SHOW COUNTERS";

  /** Longer statements are not local; leaves room for a semicolon and a space. */
  private static final int MAX_STATEMENT_BYTES = SHOW_COUNTERS.length() + 2;

  private final FrontendCallbacks callbacks;

  LocalStatements(FrontendCallbacks callbacks) {
    this.callbacks = callbacks;
  }

  /**
   * Writes the response, including ReadyForQuery, if the statement is local.
   *
   * @return whether the statement is local
   * @throws ProtocolException (not fatal) if the statement is empty and the router is not ready
   */
  boolean answerIfLocal(ByteBuf text, ByteBuf out) throws ProtocolException {
    if (text.readableBytes() > MAX_STATEMENT_BYTES) {
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
