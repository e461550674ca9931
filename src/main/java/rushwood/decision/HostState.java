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

    HostState(HostId id) {
        this.id = id;
    }

    double load() {
        return out.size() / listed.weight();
    }
}
