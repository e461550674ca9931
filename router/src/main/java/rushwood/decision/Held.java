package rushwood.decision;

import java.util.ArrayList;
import java.util.List;
import rushwood.api.Access;
import rushwood.api.Product;
import rushwood.api.ShotEnd;

/** An access that this router has taken, with its shots. */
final class Held {
  final Access access;
  final Product product;
  final GroupState group;
  final long arrivedAt;
  final long usefulTill; // the end of the quoted time, or of this try if that is earlier
  final List<Shot> shots = new ArrayList<>();
  final List<HostState> missed = new ArrayList<>();
  boolean over;
  boolean parked;
  long target;
  HostState chosen;

  Held(Access access, GroupState group, long arrivedAt) {
    this.access = access;
    this.product = access.product();
    this.group = group;
    this.arrivedAt = arrivedAt;
    usefulTill = Math.min(arrivedAt + product.quotedTime(), access.due());
  }

  double timeOfUse() {
    return usefulTill - arrivedAt;
  }

  boolean is(Product.Need need) {
    return product.need() == need;
  }

  /** The shot that is out, or null. */
  Shot out() {
    Shot last = shots.isEmpty() ? null : shots.get(shots.size() - 1);
    return last != null && last.end == null ? last : null;
  }

  /** The first shot that may have run, or null. */
  Shot mayHaveRun() {
    for (Shot shot : shots) {
      if (shot.end == null || !shot.end.neverRan()) {
        return shot;
      }
    }
    return null;
  }

  /**
   * Whether the last shot cost its host work or a place in its line, and a further one would again.
   */
  boolean costly() {
    ShotEnd end = shots.isEmpty() ? ShotEnd.UNSENT : shots.get(shots.size() - 1).end;
    return end != ShotEnd.UNSENT && end != ShotEnd.UNREACHED && end != ShotEnd.BEHIND;
  }

  /** Shots that were answered with an error. */
  long errors() {
    return shots.stream().filter(shot -> shot.end == ShotEnd.ERROR).count();
  }

  void park() {
    if (!parked) {
      parked = true;
      line().add(this);
    }
  }

  void unpark() {
    if (parked) {
      parked = false;
      line().remove(this);
    }
  }

  /** Further shots wait in a line of their own; an access changes line only while it is in none. */
  private List<Held> line() {
    return shots.isEmpty() ? group.first : group.further;
  }

  void close() {
    over = true;
    unpark();
    group.scoutBack(this);
  }
}
