package rushwood.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import rushwood.api.SessionId;

/**
 * The position of the last commit of each session, for a limited number of sessions. A session that
 * was forgotten gets the latest commit of all forgotten sessions, which is never less than its own.
 */
final class SessionWrites {
  private final Map<SessionId, Long> commits = new LinkedHashMap<>();
  private final int maxSessions;
  private long latestForgottenCommit = PendingRequest.ANY_POSITION;

  SessionWrites(int maxSessions) {
    this.maxSessions = maxSessions;
  }

  void recordCommit(SessionId session, long position) {
    commits.remove(session);
    commits.put(session, position);
    if (commits.size() > maxSessions) {
      SessionId eldest = commits.keySet().iterator().next();
      latestForgottenCommit = Math.max(latestForgottenCommit, commits.remove(eldest));
    }
  }

  /**
   * Returns the position that a read of the session, or of no session if null, must see; {@link
   * PendingRequest#ANY_POSITION} if no commit is known.
   */
  long lastCommit(@Nullable SessionId session) {
    return commits.getOrDefault(session, latestForgottenCommit);
  }
}
