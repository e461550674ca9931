package rushwood.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Follows the host list that an agent beside this router holds. What the agent has counts as told
 * to the router at once, whatever became of the calls that should bring it; so the router is never
 * out of touch for longer than part of the grace in which sends to a leaving host have to end. The
 * whole list is asked for first, then its changes are watched; while the watch says nothing the
 * list is asked for again, as nothing else proves that the watch still brings what there is. Asks
 * follow each other at part of the grace while the agent is silent, and never wait longer.
 */
public final class Following {
  /** What makes the calls. Whatever comes of them is told by their numbers. */
  public interface Calls {
    /** Asks for the whole list, or watches the changes after the version {@code since}. */
    void open(int call, boolean watch, long since);

    /** It is of no use any more, as it was {@code silent} too long or another does its work. */
    void close(int call, boolean silent);

    void wake(long at);
  }

  /** What of a listing counts. */
  public enum Verdict {
    ALL,
    LEAVING_HOSTS
  }

  private static final long MS = 1_000_000L;
  private static final long BEAT =
      2000 * MS; // the protocol's: an empty line this often from a watch that lives
  private static final long OVERDUE =
      BEAT + BEAT / 2; // half a beat late is a standstill; what is missed counts at 6 s
  private static final long LEAST =
      25 * MS; // between asks whatever the grace: 40 a second are some ms of a core's
  // The protocol's: what discovery has and could tell counts as told 6 s later, starts, weights and
  // roles as well as
  // drains. A rest and two patiences, an answer that needs both included, stay two seconds under
  // that at any grace.
  private static final long TOLD = 4000 * MS;
  private static final int LONGEST =
      4; // patiences that an answer may take from its first byte to its last, at first
  private static final int BELIEVED =
      3; // whole lists of an older version, one after the other: so it is now

  private static final class Call {
    final int number;
    final boolean watch;
    final int place;
    final long begunAt;
    long heardAt;

    Call(int number, boolean watch, int place, long now) {
      this.number = number;
      this.watch = watch;
      this.place = place;
      begunAt = now;
      heardAt = now;
    }
  }

  private final Calls calls;
  private final RandomGenerator chance;
  private final long quiet;
  private final long patience;
  private final List<Call> open =
      new ArrayList<>(3); // an ask, a watch, and for a moment the watch after it
  private Call ask;
  private Call watch;
  private int numbers;
  private int place;
  private int listedPlace = -1; // that the last whole list is from
  private long version;
  private int older; // lists, one after the other
  private boolean doubtful; // not all of the last news could be read or believed
  private long longest;
  private long checkAt = Long.MAX_VALUE; // the watch is quiet until then
  private long urgentAt = Long.MAX_VALUE; // something is known to be wrong
  private long notBefore = Long.MIN_VALUE;
  private boolean stopped = true;

  /**
   * For the time within which sends to a leaving host have to end, and the version that is held
   * from before.
   */
  public Following(long grace, long version, RandomGenerator chance, Calls calls) {
    this.calls = calls;
    this.chance = chance;
    this.version = version;
    long within = Math.min(grace, TOLD);
    quiet = Math.max(LEAST, within / 2);
    patience = Math.max(LEAST, within / 4);
    longest = LONGEST * patience;
  }

  /** The version that a call made now need not bring again, or -1. */
  public long held() {
    return doubtful || listedPlace != place ? -1 : version;
  }

  public void start(long now) {
    stopped = false;
    urgent(now);
  }

  /**
   * The agent is at another place; what the old one's watch says counts until the new one has told
   * its list.
   */
  public void moved(long now) {
    place++;
    if (ask != null) {
      drop(ask, false);
    }
    notBefore = now;
    urgent(now);
  }

  public void stop() {
    stopped = true;
    List.copyOf(open).forEach(call -> drop(call, false));
  }

  // ---- what comes of the calls

  /**
   * Something came; {@code between} if it left nothing half read. A watch that owes the rest is as
   * good as quiet.
   */
  public void heard(long now, int number, boolean between) {
    Call call = find(number);
    if (call == null || call.watch && !between) {
      return;
    }
    // A word on a watch proves that the watch lives, not that it brings what there is: the next ask
    // stands.
    call.heardAt = now;
  }

  /**
   * With what a call brought: {@code told} is its version, -1 if it has none, {@code sound} if all
   * could be read.
   */
  public Verdict listing(long now, int number, boolean whole, long told, boolean sound) {
    Call call = find(number);
    if (call == null) {
      return Verdict.LEAVING_HOSTS;
    }
    boolean first = whole && call.place == place && listedPlace != place;
    boolean back =
        told >= 0 && told < version && !(first && place > 0); // a new agent's versions are its own
    if (back && (!whole || ++older < BELIEVED)) {
      doubtful = true;
      urgent(now);
      return Verdict.LEAVING_HOSTS;
    }
    doubtful = !sound;
    if (!sound) {
      urgentAt = Math.min(urgentAt, now + rest());
      wake();
    }
    boolean news = told < 0 || told != version || listedPlace != call.place;
    version = told >= 0 ? told : version;
    if (whole) {
      older = 0;
      listedPlace = call.place;
    }
    if (call == ask && (news || watch == null || now - watch.heardAt > OVERDUE)) {
      rewatch(now, Math.max(0, told));
    }
    return Verdict.ALL;
  }

  /**
   * What the old watch did not bring the new one does, and it begins before the old one ends:
   * nothing falls between.
   */
  private void rewatch(long now, long since) {
    Call old = watch;
    watch = begin(now, true, since);
    if (old != null) {
      drop(old, false);
    }
  }

  /** An ask was answered to its end; a watch is to stay open. */
  public void done(long now, int number) {
    Call call = find(number);
    if (call != null && call == ask) {
      drop(call, false);
      longest = LONGEST * patience;
      checkAt = now + rest();
      wake();
    } else {
      failed(now, number);
    }
  }

  /**
   * It ended or brought what cannot be read: the list is asked for at once, but that an ask is not
   * long ago.
   */
  public void failed(long now, int number) {
    Call call = find(number);
    if (call != null) {
      drop(call, false);
      doubtful = true;
      if (call.place == place) {
        urgent(now);
      }
    }
  }

  // ---- time

  public void woken(long now) {
    if (stopped) {
      return;
    }
    if (ask != null && now >= limit()) {
      // The agent answers at once or is silent. An answer that came but would not end may be a long
      // one.
      boolean begun = ask.heardAt > ask.begunAt;
      longest = begun ? Math.min(2 * longest, Math.max(longest, BEAT)) : longest;
      drop(ask, true);
      notBefore = now; // it has waited
      urgent(now);
    }
    if (ask == null && now >= due()) {
      checkAt = Long.MAX_VALUE;
      urgentAt = Long.MAX_VALUE;
      notBefore = now + patience / 2 + chance.nextLong(patience / 2);
      ask = begin(now, false, 0);
    }
    wake();
  }

  private void urgent(long now) {
    urgentAt = Math.min(urgentAt, now);
    wake();
  }

  private long limit() {
    return Math.min(ask.heardAt + patience, ask.begunAt + longest);
  }

  private long due() {
    long at = Math.min(checkAt, urgentAt);
    return at == Long.MAX_VALUE ? at : Math.max(at, notBefore);
  }

  private void wake() {
    long at = ask != null ? limit() : due();
    if (!stopped && at < Long.MAX_VALUE) {
      calls.wake(at);
    }
  }

  /** Up to a quarter less than may be: routers that began together do not stay in step. */
  private long rest() {
    return quiet - chance.nextLong(quiet / 4);
  }

  // ---- calls

  private Call begin(long now, boolean watching, long since) {
    Call call = new Call(numbers++, watching, place, now);
    open.add(call);
    calls.open(call.number, watching, since);
    return call;
  }

  private void drop(Call call, boolean silent) {
    open.remove(call);
    ask = call == ask ? null : ask;
    watch = call == watch ? null : watch;
    calls.close(call.number, silent);
  }

  private Call find(int number) {
    for (Call call : open) {
      if (call.number == number) {
        return call;
      }
    }
    return null;
  }
}
