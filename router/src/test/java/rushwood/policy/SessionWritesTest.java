package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import rushwood.api.SessionId;

class SessionWritesTest {
  private final SessionWrites writes = new SessionWrites(2);

  @Test
  void remembersLastCommitOfEachSession() {
    writes.recordCommit(new SessionId("a"), 5);
    writes.recordCommit(new SessionId("a"), 7);
    assertEquals(7, writes.lastCommit(new SessionId("a")));
    assertEquals(PendingRequest.ANY_POSITION, writes.lastCommit(new SessionId("b")));
  }

  @Test
  void forgottenSessionGetsLatestForgottenCommit() {
    writes.recordCommit(new SessionId("a"), 9);
    writes.recordCommit(new SessionId("b"), 4);
    writes.recordCommit(new SessionId("c"), 10);
    assertEquals(9, writes.lastCommit(new SessionId("a")));
    writes.recordCommit(new SessionId("d"), 11);
    assertEquals(9, writes.lastCommit(new SessionId("b")));
    assertEquals(10, writes.lastCommit(new SessionId("c")));
  }
}
