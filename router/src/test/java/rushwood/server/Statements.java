package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import rushwood.protocol.TestMessages;

/**
 * Statements of clients and the expected responses, which are given as message types in the form of
 * {@link TestMessages#messageTypes}.
 */
final class Statements {
  static final String STARTED = "R S S S S S K Z";
  static final String SERVED = "T D C Z";
  static final String EMPTY = "I Z";
  static final String REJECTED = "E(53300) Z";
  static final String FAILED = "E(58000) Z";

  /** Default request timeout. */
  private static final int REQUEST_TIMEOUT_MILLIS = 900;

  private Statements() {}

  static String read(String id) {
    return read(id, REQUEST_TIMEOUT_MILLIS);
  }

  static String read(String id, int timeoutMillis) {
    return TestMessages.readStatement(id, ",d=" + timeoutMillis);
  }

  static String write(String id) {
    return write(id, REQUEST_TIMEOUT_MILLIS);
  }

  static String write(String id, int timeoutMillis) {
    return TestMessages.writeStatement(id, ",d=" + timeoutMillis);
  }

  /** Returns a write whose value has {@code valueBytes} bytes. */
  static String largeWrite(String id, int valueBytes) {
    return write(id).replace("9f03", "9f".repeat(valueBytes));
  }

  static void assertServedOrRejected(String response) {
    assertTrue(response.equals(SERVED) || response.equals(REJECTED), response);
  }
}
