package rushwood.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushwood.storm.Door.Place;
import rushwood.storm.Door.Standing;

class DoorTest {
  private static final long MS = 1_000_000L;
  private static final long WAIT = 500 * MS;

  private final Door door = new Door(3, WAIT);

  private Place enter(String who, long at) {
    return door.enter(who, at * MS);
  }

  private void stands(Place place, Standing standing, long at) {
    door.stands(place, standing, at * MS);
  }

  private Place next(long at) {
    return door.next(at * MS);
  }

  /**
   * A connection that was told when to return is never closed for one that comes before that time
   * is over.
   */
  @Test
  void theBookedStay() {
    Place booked = enter("booked", 0);
    stands(booked, Standing.BOOKED, 0);
    Place busy = enter("busy", 0);
    stands(busy, Standing.BUSY, 0);
    Place rests = enter("rests", 0);
    stands(rests, Standing.RESTING, 200);
    enter("comes", 210);
    assertTrue(door.isOverfull());
    assertNull(next(210), "it has not rested long");
    assertSame(rests, next(300));
    door.leave(rests);
    assertNull(next(350), "what remains is booked, busy or has just come");
    door.leave(door.newest());
    assertSame(booked, next(750), "it did not come at its time, nor soon after");
  }

  /**
   * First statements come at once: who has said nothing for a while is silent, and goes before
   * those that rest.
   */
  @Test
  void theSilentGoFirst() {
    Place rests = enter("rests", 0);
    stands(rests, Standing.RESTING, 0);
    Place silent = enter("silent", 0);
    enter("late", 120);
    enter("comes", 149);
    assertSame(rests, next(149));
    assertSame(silent, next(150));
    stands(silent, Standing.BUSY, 150); // its statement came after all
    assertSame(rests, next(150));
  }

  @Test
  void aFullHouseOfBusyRefusesTheNewest() {
    for (String who : List.of("a", "b", "c")) {
      stands(enter(who, 0), Standing.BUSY, 0);
    }
    Place comes = enter("comes", 1);
    assertNull(next(1));
    assertSame(comes, door.newest());
  }

  /**
   * Clients that ask once and stay: those that rest go though there is room; where they come back,
   * none goes.
   */
  @Test
  void restingInVain() {
    Door large = new Door(100, WAIT);
    List<Place> resting = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      resting.add(large.enter(i, 0));
      large.stands(resting.get(i), Standing.RESTING, 0);
      large.asked(true);
    }
    assertNull(large.restsInVain(1000 * MS), "they come back");
    for (int i = 0; i < 40; i++) {
      large.asked(false);
    }
    assertNull(large.restsInVain(99 * MS), "not long");
    for (int i = 0; i < 28; i++) {
      assertSame(resting.get(i), large.restsInVain(100 * MS));
      large.leave(resting.get(i));
    }
    assertNull(large.restsInVain(1000 * MS), "so few may rest");
    large.closing();
    assertNull(large.restsInVain(1000 * MS));
  }

  /**
   * At the end nobody can come back here: those that are served stay, the silent go for those that
   * come.
   */
  @Test
  void closing() {
    Place rests = enter("rests", 0);
    stands(rests, Standing.RESTING, 0);
    Place silent = enter("silent", 0);
    stands(enter("busy", 0), Standing.BUSY, 0);
    enter("comes", 1000);
    door.closing();
    assertSame(silent, next(1000));
    door.leave(silent);
    assertNull(next(1000));
  }

  /** Whatever happens, the lists hold each place once and their lengths add up. */
  @Test
  void chance() {
    SplittableRandom chance = new SplittableRandom(5);
    List<Place> in = new ArrayList<>();
    Door large = new Door(50, WAIT);
    for (long at = 0; at < 20_000; at++) {
      int what = chance.nextInt(4);
      if (what == 0) {
        in.add(large.enter(at, at * MS));
      } else if (!in.isEmpty() && what == 1) {
        large.leave(in.remove(chance.nextInt(in.size())));
      } else if (!in.isEmpty()) {
        large.stands(
            in.get(chance.nextInt(in.size())), Standing.values()[chance.nextInt(4)], at * MS);
      }
      for (Place goes = large.isOverfull() ? large.next(at * MS) : null;
          goes != null;
          goes = large.isOverfull() ? large.next(at * MS) : null) {
        assertTrue(goes.standing() != Standing.BUSY && in.remove(goes));
        large.leave(goes);
        large.leave(goes); // twice is once
      }
      assertEquals(in.size(), large.open());
      int sum = 0;
      for (Standing each : Standing.values()) {
        sum += large.open(each);
      }
      assertEquals(in.size(), sum);
    }
  }

  @Test
  void socketsFollowTheHosts() {
    Sockets sockets = new Sockets(100);
    assertEquals(87, sockets.forClients(0));
    assertEquals(40, sockets.forHosts());
    sockets.clients(85);
    assertEquals(15, sockets.forHosts());
    sockets.hosts(15, 1000 * MS);
    assertEquals(81, sockets.forClients(1000 * MS), "a quarter above the peak is kept");
    sockets.hosts(2, 2000 * MS);
    assertEquals(82, sockets.forClients(2000 * MS));
    assertEquals(87, sockets.forClients(60_000 * MS));
    sockets.hosts(60, 61_000 * MS);
    assertEquals(60, sockets.forClients(61_000 * MS), "three parts of five are theirs");
    assertEquals(15, sockets.forHosts());
  }
}
