package rushwood.decision;

import java.util.ArrayList;
import java.util.List;
import rushwood.api.Access;

/** An access that this router has taken, with its shots. */
final class Held {
    final Access access;
    final GroupState group;
    final long arrivedAt;
    final List<Shot> shots = new ArrayList<>();
    final List<HostState> missed = new ArrayList<>();
    boolean over;
    boolean parked;
    long target;
    HostState chosen;

    Held(Access access, GroupState group, long arrivedAt) {
        this.access = access;
        this.group = group;
        this.arrivedAt = arrivedAt;
    }

    boolean out() {
        return !shots.isEmpty() && shots.get(shots.size() - 1).end == null;
    }

    /** The first shot that may have run, or null. */
    Shot mayHaveRun() {
        for (Shot shot : shots) {
            if (shot.mayHaveRun()) {
                return shot;
            }
        }
        return null;
    }
}
