package rushwood.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class HearsayTest {
  private static final long SECOND = 1_000_000_000L;
  private static final MemberId A = new MemberId(0x7f000001, 1);
  private static final MemberId B = new MemberId(0x7f000002, 1);
  private static final MemberId C = new MemberId(0x7f000003, 1);

  @Test
  void onePeerAloneCannotTakeAHostOut() {
    Hearsay hearsay = new Hearsay(5 * SECOND, 2);
    for (int i = 0; i < 10; i++) {
      hearsay.heard(i * SECOND / 10, A, "s-1", Hearsay.Seen.DEAD, 0);
    }
    assertEquals(1, hearsay.figure(SECOND, "s-1", Hearsay.Seen.DEAD).members());
    assertFalse(hearsay.figure(SECOND, "s-1", Hearsay.Seen.DEAD).quorum());
    hearsay.heard(SECOND, B, "s-1", Hearsay.Seen.DEAD, SECOND / 2);
    Hearsay.Figure two = hearsay.figure(SECOND, "s-1", Hearsay.Seen.DEAD);
    assertTrue(two.quorum());
    assertEquals(SECOND / 10, two.age(), "the youngest word");
  }

  @Test
  void oldWordsAreNotUsedAndAreForgotten() {
    Hearsay hearsay = new Hearsay(5 * SECOND, 1);
    hearsay.heard(0, A, "s-1", Hearsay.Seen.COLD, 6 * SECOND);
    hearsay.heard(0, B, "s-1", Hearsay.Seen.COLD, -1);
    assertEquals(2, hearsay.dropped());
    hearsay.heard(0, C, "s-2", Hearsay.Seen.COLD, 4 * SECOND);
    assertTrue(hearsay.figure(SECOND / 2, "s-2", Hearsay.Seen.COLD).quorum());
    assertEquals(
        0,
        hearsay.figure(SECOND, "s-2", Hearsay.Seen.COLD).members(),
        "four seconds old, then five");
    assertEquals(0, hearsay.hostsKept());
  }

  @Test
  void wellAgainTakesBackAMembersWord() {
    Hearsay hearsay = new Hearsay(5 * SECOND, 2);
    hearsay.heard(0, A, "s-1", Hearsay.Seen.DEAD, 0);
    hearsay.heard(0, B, "s-1", Hearsay.Seen.DEAD, 0);
    hearsay.wellAgain(A, "s-1");
    assertFalse(hearsay.figure(1, "s-1", Hearsay.Seen.DEAD).quorum());
  }

  @Test
  void hostsAndWordsAreBounded() {
    Hearsay hearsay = new Hearsay(5 * SECOND, 1);
    for (int i = 0; i < Hearsay.MOST_HOSTS + 10; i++) {
      hearsay.heard(0, A, "s-" + i, Hearsay.Seen.BEHIND, 0);
    }
    assertEquals(Hearsay.MOST_HOSTS, hearsay.hostsKept());
    assertEquals(10, hearsay.dropped());
    for (int i = 0; i < 100; i++) {
      hearsay.heard(0, new MemberId(i, 2), "s-0", Hearsay.Seen.DEAD, 0);
    }
    assertEquals(Hearsay.MOST_WORDS, hearsay.figure(0, "s-0", Hearsay.Seen.DEAD).members());
  }
}
