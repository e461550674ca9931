package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import rushwood.net.ClientTimeout.Expiry;

class ClientTimeoutTest {
  private static final long TIMEOUT_NANOS = 2_400_000_000L;
  private static final long ACCEPTED_AT = 7_000_000_000L;

  private final ClientTimeout timeout = new ClientTimeout(ACCEPTED_AT);

  @Test
  void startupMessageIsDueFromTheAccept() {
    timeout.bytesRead(ACCEPTED_AT + 1, true);
    assertEquals(Expiry.NONE, timeout.check(ACCEPTED_AT + TIMEOUT_NANOS - 1, true, true));
    assertEquals(Expiry.INCOMPLETE_MESSAGE, timeout.check(ACCEPTED_AT + TIMEOUT_NANOS, true, true));
  }

  @Test
  void restOfAMessageIsDueFromItsFirstBytes() {
    long firstBytesAt = ACCEPTED_AT + 2 * TIMEOUT_NANOS;
    timeout.bytesRead(firstBytesAt, false);
    timeout.bytesRead(firstBytesAt + 5, true);
    long dueAt = firstBytesAt + TIMEOUT_NANOS;
    assertEquals(Expiry.NONE, timeout.check(dueAt - 1, true, true));
    assertEquals(Expiry.INCOMPLETE_MESSAGE, timeout.check(dueAt, true, true));
    assertEquals(Expiry.NONE, timeout.check(dueAt, true, false), "it was completed");
  }

  @Test
  void clientThatDoesNotReadIsDueFromTheLastBytes() {
    long writtenAt = ACCEPTED_AT + TIMEOUT_NANOS;
    timeout.bytesWritten(writtenAt, false);
    long dueAt = writtenAt + TIMEOUT_NANOS;
    assertEquals(Expiry.NONE, timeout.check(dueAt - 1, false, true));
    assertEquals(Expiry.UNREAD_ANSWER, timeout.check(dueAt, false, true));
    assertEquals(Expiry.NONE, timeout.check(dueAt, true, false));
  }
}
