package rushwood.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What peers said they saw of database hosts, each word with its age: a word older than the bound
 * is not used, and a host counts as seen so by the fleet only when {@code quorum} members said it
 * independently, so that one lying or stale peer cannot take a host out. Bounded in hosts and in
 * words a host; words age out at the next look.
 */
public final class Hearsay {
  /** What a member saw of a host. */
  public enum Seen {
    DEAD,
    COLD,
    DRAINING,
    PRIMARY,
    BEHIND
  }

  /** A word: who saw it, what, and when by the receiver's clock (its age at sending taken off). */
  private record Word(MemberId by, Seen seen, long at) {}

  // Hosts a tier has: up to 1,024 are to be borne; twice that guards against a list that changes as
  // it grows.
  static final int MOST_HOSTS = 2048;
  // Words kept a host: a quorum of a tier of 100 needs some; more than the tier's size says nothing
  // new.
  static final int MOST_WORDS = 32;

  private final Map<String, Deque<Word>> hosts = new TreeMap<>();
  private final long oldest;
  private final int quorum;
  private long dropped;

  /**
   * Words older than {@code oldest} nanoseconds are not used; {@code quorum} members make the
   * fleet's word.
   */
  public Hearsay(long oldest, int quorum) {
    if (oldest <= 0 || quorum < 1) {
      throw new IllegalArgumentException(
          "fleet.knowledge: oldest above zero and a quorum of 1 at least");
    }
    this.oldest = oldest;
    this.quorum = quorum;
  }

  /**
   * {@code by} said at {@code now} that it saw {@code seen} of {@code host} {@code age} nanoseconds
   * ago.
   */
  public void heard(long now, MemberId by, String host, Seen seen, long age) {
    if (age < 0 || age >= oldest) {
      dropped++;
      return; // a word from the future or too old is worth nothing
    }
    Deque<Word> words = hosts.get(host);
    if (words == null) {
      if (hosts.size() >= MOST_HOSTS) {
        dropped++;
        return;
      }
      words = new ArrayDeque<>();
      hosts.put(host, words);
    }
    words.removeIf(word -> word.by().equals(by) && word.seen() == seen);
    words.addLast(new Word(by, seen, now - age));
    if (words.size() > MOST_WORDS) {
      words.removeFirst();
    }
  }

  /**
   * How many members saw {@code seen} of the host within the bound, and the youngest word's age;
   * none is 0. Reading is also what forgets: words older than the bound are removed here, so a host
   * asked about is never held with stale words, and one never asked about is held by {@link
   * #MOST_WORDS} at most.
   */
  public Figure figure(long now, String host, Seen seen) {
    Deque<Word> words = hosts.get(host);
    if (words == null) {
      return Figure.NONE;
    }
    words.removeIf(word -> now - word.at() >= oldest);
    if (words.isEmpty()) {
      hosts.remove(host);
      return Figure.NONE;
    }
    TreeSet<MemberId> members = new TreeSet<>();
    long youngest = Long.MAX_VALUE;
    for (Word word : words) {
      if (word.seen() == seen) {
        members.add(word.by());
        youngest = Math.min(youngest, now - word.at());
      }
    }
    return members.isEmpty()
        ? Figure.NONE
        : new Figure(members.size(), youngest, members.size() >= quorum);
  }

  /** A word is taken back: the member saw the host well, and what it said before stands no more. */
  public void wellAgain(MemberId by, String host) {
    Deque<Word> words = hosts.get(host);
    if (words != null) {
      words.removeIf(word -> word.by().equals(by) && word.seen() != Seen.PRIMARY);
    }
  }

  /** Words refused: too old, from the future, or for a host past the bound. */
  public long dropped() {
    return dropped;
  }

  int hostsKept() {
    return hosts.size();
  }

  /**
   * What the fleet says of one host: by how many members, the youngest word's age, whether that is
   * a quorum.
   */
  public record Figure(int members, long age, boolean quorum) {
    static final Figure NONE = new Figure(0, Long.MAX_VALUE, false);
  }
}
