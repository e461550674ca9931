package rushwood.decision;

import java.util.ArrayList;
import java.util.List;

/** What a router remembers of a group: members in id order, the last known primary, and the parked. */
final class GroupState {
    final List<HostState> members = new ArrayList<>();
    final List<Held> first = new ArrayList<>();
    final List<Held> further = new ArrayList<>();
    HostState primary;
    Held scout;
}
