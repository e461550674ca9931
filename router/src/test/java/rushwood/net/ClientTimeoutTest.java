package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import rushwood.net.ClientTimeout.Expiry;

class ClientTimeoutTest {
  private static final long TIMEOUT_NANOS = 2_400_000_000L;
  private static final long ACCEPTED_AT = 7_000_000_000L;

  private final ClientTimeout timeout = new ClientTimeout(ACCEPTED_AT);

  @Test
  void startupTimeoutCountsFromTheAccept() {
    timeout.bytesRead(ACCEPTED_AT + 1, true);
    assertEquals(Expiry.NONE, timeout.check(ACCEPTED_AT + TIMEOUT_NANOS - 1, true, true));
    assertEquals(Expiry.INCOMPLETE_MESSAGE, timeout.check(ACCEPTED_AT + TIMEOUT_NANOS, true, true));
  }

  @Test
  void messageTimeoutCountsFromItsFirstBytes() {
    long firstBytesAt = ACCEPTED_AT + 2 * TIMEOUT_NANOS;
    timeout.bytesRead(firstBytesAt, false);
    timeout.bytesRead(firstBytesAt + 5, true);
    long deadline = firstBytesAt + TIMEOUT_NANOS;
    assertEquals(Expiry.NONE, timeout.check(deadline - 1, true, true));
    assertEquals(Expiry.INCOMPLETE_MESSAGE, timeout.check(deadline, true, true));
    assertEquals(
        Expiry.NONE, timeout.check(deadline, true, false), "the message is complete by now");
  }

  @Test
  void unreadAnswerTimeoutCountsFromTheLastBytes() {
    long writtenAt = ACCEPTED_AT + TIMEOUT_NANOS;
    timeout.bytesWritten(writtenAt, false);
    long deadline = writtenAt + TIMEOUT_NANOS;
    assertEquals(Expiry.NONE, timeout.check(deadline - 1, false, true));
    assertEquals(Expiry.UNREAD_ANSWER, timeout.check(deadline, false, true));
    assertEquals(Expiry.NONE, timeout.check(deadline, true, false));
  }
}
