package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import rushwood.protocol.TestMessages;

/**
 * What clients send, and the responses that they get as the types of their messages, see {@link
 * TestMessages#messageTypes}.
 */
final class Statements {
  static final String STARTED = "R S S S S S K Z";
  static final String SERVED = "T D C Z";
  static final String EMPTY = "I Z";
  static final String REJECTED = "E(53300) Z";
  static final String FAILED = "E(58000) Z";

  /** How long the client of a statement waits where the test does not say. */
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

  /** Returns a write of a value of that many bytes. */
  static String largeWrite(String id, int valueBytes) {
    return write(id).replace("9f03", "9f".repeat(valueBytes));
  }

  static void assertServedOrRejected(String response) {
    assertTrue(response.equals(SERVED) || response.equals(REJECTED), response);
  }
}
