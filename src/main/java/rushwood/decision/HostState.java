package rushwood.decision;

import java.util.ArrayList;
import java.util.List;
import rushwood.api.HostId;
import rushwood.api.ListedHost;

/** What a router remembers of a host. */
final class HostState {
    enum Health { WELL, DOWN, STUCK }

    final HostId id;
    ListedHost listed;
    GroupState group;
    final List<Shot> out = new ArrayList<>();
    private final List<Long> lingering = new ArrayList<>();
    double cap;
    Health health = Health.WELL;
    long troubledAt;
    long nextTrial;
    long trialGap;
    boolean probing;
    boolean everProbed;
    long lastAnswer;
    long warmFrom;
    double allowance;
    long allowanceAt;
    long position = Long.MIN_VALUE;
    long positionAt = Long.MIN_VALUE;
    boolean primary;
    long roleAt = Long.MIN_VALUE;
    long refusedAt = Long.MIN_VALUE;
    double lateness;
    double doneRate;
    double doneNow;
    double queue;
    long pausedUntil = Long.MIN_VALUE;
    int fullRow;
    long deniedAt = -(1L << 62);

    HostState(HostId id) {
        this.id = id;
    }

    void linger(long now, long until) {
        lingering.add(until);
        taken(now);
    }

    /** Slots taken: by shots that are out and by those that linger. */
    int taken(long now) {
        lingering.removeIf(until -> until <= now);
        return out.size() + lingering.size();
    }

    double load(long now) {
        return taken(now) / listed.weight();
    }
}
