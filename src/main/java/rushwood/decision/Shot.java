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

    Shot(Held held, int number, HostState host, long sentAt) {
        this.held = held;
        this.number = number;
        this.host = host;
        this.sentAt = sentAt;
    }

    boolean mayHaveRun() {
        return end == null || !end.neverRan();
    }
}
