package rushwood.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import rushwood.api.SessionId;

/**
 * The last commit of each session, so many sessions at the most. One that falls out is held to the
 * latest commit that did: never to less than its own.
 */
final class SessionWrites {
  private final Map<SessionId, Long> commits = new LinkedHashMap<>();
  private final int maxSessions;
  private long latestForgottenCommit = HostState.NEVER;

  SessionWrites(int maxSessions) {
    this.maxSessions = maxSessions;
  }

  void recordCommit(SessionId session, long commit) {
    commits.remove(session);
    commits.put(session, commit);
    if (commits.size() > maxSessions) {
      SessionId eldest = commits.keySet().iterator().next();
      latestForgottenCommit = Math.max(latestForgottenCommit, commits.remove(eldest));
    }
  }

  long lastCommit(SessionId session) {
    return commits.getOrDefault(session, latestForgottenCommit);
  }
}
