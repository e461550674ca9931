package rushwood.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Follows an agent of the test's own in virtual time, a millisecond a step. */
class FollowingTest {
  private static final long MS = 1_000_000L;
  private static final long[] GRACES = {100, 250, 1000, 2000, 4000, 10_000, 15_000, 60_000}; // ms

  /** The agent, and the router that follows it. */
  private static final class Play implements Following.Calls {
    enum Mood {
      ANSWERS,
      SILENT,
      REFUSES,
      CUTS,
      DRIPS
    }

    final Following following;
    final Map<Integer, Long> watches = new TreeMap<>(); // what each was told last
    final Map<Integer, Long> asks = new TreeMap<>(); // when each came
    final List<Integer> muted = new ArrayList<>();
    final List<Long> asked = new ArrayList<>();
    Mood mood = Mood.ANSWERS;
    boolean sound = true;
    boolean hollow; // watches beat, and bring nothing
    long now = 1_000_000;
    long version = 41;
    long toldAt = now;
    long held = -1;
    long worst; // from when the agent had a version until the router had it
    long wakeAt = Long.MAX_VALUE;
    int opened;

    Play(long grace, long known, long seed) {
      following = new Following(grace * MS, known, new SplittableRandom(seed), this);
    }

    Play start() {
      following.start(now * MS);
      return this;
    }

    @Override
    public void open(int call, boolean watch, long since) {
      opened++;
      if (watch) {
        watches.put(call, since);
      } else {
        asked.add(now);
        asks.put(call, now);
      }
    }

    @Override
    public void close(int call, boolean silent) {
      watches.remove(call);
      asks.remove(call);
    }

    @Override
    public void wake(long at) {
      wakeAt = at;
    }

    void tell() {
      version++;
      toldAt = now;
    }

    void know(Following.Verdict verdict) {
      if (verdict == Following.Verdict.ALL && held < version) {
        held = version;
        worst = Math.max(worst, now - toldAt);
      }
    }

    void run(long millis) {
      for (long end = now + millis; now < end; now++) {
        if (now * MS >= wakeAt) {
          wakeAt = Long.MAX_VALUE;
          following.woken(now * MS);
        }
        List.copyOf(asks.keySet()).forEach(this::answer);
        List.copyOf(watches.keySet()).forEach(this::bring);
      }
    }

    private void answer(int call) {
      if (now <= asks.get(call)) {
        return; // answers take a step
      }
      switch (mood) {
        case ANSWERS -> {
          know(following.listing(now * MS, call, true, version, sound));
          following.heard(now * MS, call, true);
          following.done(now * MS, call);
        }
        case REFUSES, CUTS -> following.failed(now * MS, call);
        case DRIPS -> following.heard(now * MS, call, false);
        case SILENT -> {}
      }
    }

    private void bring(int call) {
      if (mood != Mood.ANSWERS || muted.contains(call)) {
        return;
      }
      if (hollow) {
        if (now % 200 == 0) {
          following.heard(now * MS, call, true);
        }
      } else if (watches.get(call) < version) {
        watches.put(call, version);
        know(following.listing(now * MS, call, false, version, sound));
        following.heard(now * MS, call, true);
      } else if (now % 2000 == 0) {
        following.heard(now * MS, call, true);
      }
    }

    void mute() {
      muted.addAll(watches.keySet());
    }

    void reset() {
      List.copyOf(watches.keySet())
          .forEach(
              call -> {
                watches.remove(call);
                following.failed(now * MS, call);
              });
    }
  }

  private interface Script {
    void play(Play play, SplittableRandom chance);
  }

  /**
   * Whatever the agent has the router has well inside any grace: a quarter of it is left for all
   * else.
   */
  private static void withinGrace(Script script) {
    for (long grace : GRACES) {
      for (int seed = 0; seed < 40; seed++) {
        Play play = new Play(grace, 40, seed).start();
        SplittableRandom chance = new SplittableRandom(seed);
        play.run(100 + chance.nextInt(5000));
        assertEquals(41, play.held);
        play.worst = 0;
        script.play(play, chance);
        play.run(20_000);
        assertEquals(play.version, play.held);
        long bound = Math.min(grace, 6000) * 3 / 4 + 2; // and what counts 6 s later at the latest
        assertTrue(
            play.worst <= bound, play.worst + " ms with a grace of " + grace + ", seed " + seed);
      }
    }
  }

  @Test
  void aChangeIsHeardAtOnce() {
    Play play = new Play(2000, 40, 1).start();
    play.run(500);
    play.worst = 0;
    play.tell();
    play.run(500);
    assertEquals(0, play.worst);
  }

  @Test
  void withAWatchThatFellSilent() {
    withinGrace(
        (play, chance) -> {
          play.mute();
          play.run(1 + chance.nextInt(7000));
          play.tell();
        });
  }

  /** Its signs of life prove nothing of what it brings. */
  @Test
  void withAWatchThatBeatsAndBringsNothing() {
    withinGrace(
        (play, chance) -> {
          play.hollow = true;
          play.run(1 + chance.nextInt(7000));
          play.tell();
        });
  }

  @Test
  void withAWatchThatIsReset() {
    withinGrace(
        (play, chance) -> {
          play.reset();
          play.tell();
          play.run(chance.nextInt(3000));
          play.reset();
          play.run(chance.nextInt(300));
          play.tell();
        });
  }

  /** However long it was away, and whichever way: the waits do not grow. */
  @Test
  void atTheReturnOfDiscovery() {
    for (Play.Mood mood : List.of(Play.Mood.SILENT, Play.Mood.REFUSES, Play.Mood.CUTS)) {
      withinGrace(
          (play, chance) -> {
            play.mood = mood;
            if (chance.nextBoolean()) {
              play.reset();
            } else {
              play.mute();
            }
            play.run(chance.nextInt(30_000));
            play.mood = Play.Mood.ANSWERS;
            play.tell();
          });
    }
  }

  /**
   * An answer that never ends is cut off, each later one allowed more time, and asked for again.
   */
  @Test
  void anAnswerThatNeverEnds() {
    withinGrace(
        (play, chance) -> {
          play.mute();
          play.mood = Play.Mood.DRIPS;
          play.run(chance.nextInt(3000));
          play.mood = Play.Mood.ANSWERS;
          play.tell();
        });
    Play play = new Play(250, 40, 1).start();
    play.mood = Play.Mood.DRIPS;
    play.run(10_000);
    assertTrue(
        play.asked.size() > 5 && play.asked.size() < 20, "not in a hurry: " + play.asked.size());
  }

  /** From the first moment of a new process, which holds an older list, and of a new agent. */
  @Test
  void atAStartAndAfterAMove() {
    for (long grace : GRACES) {
      Play play = new Play(grace, 40, 3).start();
      play.run(5);
      assertEquals(41, play.held);
      assertTrue(play.worst <= 2);
      play.following.moved(play.now * MS);
      play.version = 7; // its own count
      play.held = 6;
      play.toldAt = play.now;
      play.worst = 0;
      play.run(grace);
      assertEquals(7, play.held);
      assertTrue(play.worst <= 2);
      assertEquals(1, play.watches.size(), "the old agent's watch is closed");
    }
  }

  /** The old agent's watch goes on until the new agent has answered. */
  @Test
  void whileANewAgentIsNotThere() {
    Play play = new Play(250, 40, 3).start();
    play.run(100);
    play.mood = Play.Mood.SILENT;
    play.following.moved(play.now * MS);
    play.run(3000);
    int old = play.watches.keySet().iterator().next();
    play.know(play.following.listing(play.now * MS, old, false, ++play.version, true));
    assertEquals(42, play.held);
    play.mood = Play.Mood.ANSWERS;
    play.tell();
    play.run(250);
    assertEquals(43, play.held);
    assertEquals(false, play.watches.containsKey(old));
  }

  /**
   * A version that goes back: only leaving hosts count, the list is asked for at once, and believed
   * at the third.
   */
  @Test
  void aVersionThatGoesBack() {
    Play play = new Play(2000, 40, 5).start();
    play.run(50);
    int watch = play.watches.keySet().iterator().next();
    assertEquals(
        Following.Verdict.LEAVING_HOSTS,
        play.following.listing(play.now * MS, watch, false, 12, true));
    assertEquals(-1, play.following.held(), "the next list is read whole");
    int before = play.asked.size();
    play.run(600);
    assertEquals(before + 1, play.asked.size());
    play.version = 5;
    play.held = 4;
    play.toldAt = play.now;
    play.run(2 * 1000);
    assertEquals(5, play.held);
    play.version = 4;
    assertEquals(
        Following.Verdict.LEAVING_HOSTS,
        play.following.listing(
            play.now * MS, play.watches.keySet().iterator().next(), true, 4, true));
  }

  /** What could not be read in full is asked for soon, and is not passed over then. */
  @Test
  void afterABadEntry() {
    Play play = new Play(10_000, 40, 5).start();
    play.sound = false;
    play.run(10);
    assertEquals(-1, play.following.held());
    play.sound = true;
    play.run(2010);
    assertEquals(2, play.asked.size());
    assertEquals(41, play.following.held());
  }

  /**
   * What it costs the agent, and that a hundred routers that begin together do not stay in step.
   */
  @Test
  void asksAMinute() {
    for (Map.Entry<Long, Integer> each :
        Map.of(250L, 60 * 11, 2000L, 60 * 2, 10_000L, 40).entrySet()) {
      Play calm = new Play(each.getKey(), 40, 1).start();
      calm.run(60_000);
      assertTrue(
          calm.asked.size() <= each.getValue(), calm.asked.size() + " asks with " + each.getKey());
      assertEquals(calm.asked.size() + 1, calm.opened, "one watch");
      Play down = new Play(each.getKey(), 40, 1).start();
      down.mood = Play.Mood.REFUSES;
      down.run(60_000);
      assertTrue(
          down.asked.size() <= 60_000 / (Math.min(4000, each.getKey()) / 8) + 1,
          down.asked.size() + " asks in vain");
    }
    Map<Long, Integer> together = new TreeMap<>();
    for (int router = 0; router < 100; router++) {
      Play play = new Play(2000, 40, router).start();
      play.mood = Play.Mood.REFUSES;
      play.run(10_000);
      together.merge(play.asked.get(play.asked.size() - 1) / 10, 1, Integer::sum);
    }
    assertTrue(together.values().stream().allMatch(count -> count < 15), together.toString());
  }

  @Test
  void stopped() {
    Play play = new Play(250, 40, 1).start();
    play.run(100);
    play.following.stop();
    assertEquals(0, play.watches.size() + play.asks.size());
    int opened = play.opened;
    play.following.woken(play.now * MS);
    play.following.failed(play.now * MS, 0);
    play.run(1000);
    assertEquals(opened, play.opened);
  }
}
