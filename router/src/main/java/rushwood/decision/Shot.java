package rushwood.decision;

import rushwood.api.ShotEnd;

/** One try at serving an access; {@code end} is null while it is out. */
final class Shot {
  final Held held;
  final int number;
  final HostState host;
  final long sentAt;
  ShotEnd end;
  boolean withdrawn;
  int overtaken;
  boolean lost;
  final boolean control;

  Shot(Held held, HostState host, long sentAt, boolean control) {
    this.held = held;
    this.number = held.shots.size();
    this.host = host;
    this.sentAt = sentAt;
    this.control = control;
  }
}
