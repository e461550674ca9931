package rushwood.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import rushwood.api.SessionId;

/**
 * The last commit of each session, so many sessions at the most. One that falls out is held to the
 * latest commit that did: never to less than its own.
 */
final class Writes {
  private final Map<SessionId, Long> commits = new LinkedHashMap<>();
  private final int most;
  private long forgotten = HostState.NEVER;

  Writes(int most) {
    this.most = most;
  }

  void add(SessionId session, long commit) {
    commits.remove(session);
    commits.put(session, commit);
    if (commits.size() > most) {
      SessionId eldest = commits.keySet().iterator().next();
      forgotten = Math.max(forgotten, commits.remove(eldest));
    }
  }

  long last(SessionId session) {
    return commits.getOrDefault(session, forgotten);
  }
}
