package rushwood.decision;

import java.util.ArrayList;
import java.util.List;
import rushwood.api.HostId;
import rushwood.api.ListedHost;

/** What a router remembers of a host. */
final class HostState {
  enum Health {
    WELL,
    DOWN,
    STUCK
  }

  /** Earlier than any clock time, and far enough from the end that sums with it do not overflow. */
  static final long NEVER = Long.MIN_VALUE / 2;

  final HostId id;
  ListedHost listed;
  GroupState group;

  final List<Shot> out = new ArrayList<>();
  private int lost; // of those that are out
  private final double firstCap;
  double cap;
  double lateness;
  long pausedUntil = NEVER;

  Health health = Health.WELL;
  long troubledAt;
  long nextTrial;
  long lastAnswer = NEVER;
  boolean probing;

  long warmFrom;
  double allowance;
  long allowanceAt;
  double doneRate;
  double doneNow;

  long position = NEVER;
  long positionAt = NEVER;
  long refusedAt = NEVER;
  long roleAt = NEVER;
  long deniedAt = NEVER;

  HostState(HostId id, double firstCap) {
    this.id = id;
    this.firstCap = firstCap;
    cap = firstCap;
  }

  void leave() {
    if (group != null) {
      group.drop(this);
      group = null;
    }
  }

  /** It is up: what happened to that shot was its connection's fault. */
  boolean answeredSince(Shot shot) {
    return lastAnswer > shot.sentAt;
  }

  /** A new process: cold, well as far as is known, and nothing of the old one's slots holds. */
  void startAnew(long at) {
    warmFrom = at;
    cap = firstCap;
    lateness = 0;
    pausedUntil = NEVER;
    health = Health.WELL;
  }

  /** A position never goes back; one past the clock cannot be true. */
  void stoodAt(long at, long now) {
    if (at <= now) {
      position = Math.max(position, at);
      positionAt = now;
    }
  }

  /** That shot's answer will not come: it holds no slot any more. */
  void lose(Shot shot) {
    shot.lost = true;
    lost++;
  }

  void back(Shot shot) {
    if (out.remove(shot) && shot.lost) {
      lost--;
    }
  }

  /** Slots taken: by shots that are out and not held for lost. */
  int taken() {
    return out.size() - lost;
  }

  double load() {
    return taken() / listed.weight();
  }
}
