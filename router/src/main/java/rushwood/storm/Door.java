package rushwood.storm;

/**
 * The house of client connections: who is let in, and who goes for one that comes. A connection
 * with an access, half a message or a booked return never goes; one that stays silent goes first,
 * then the one that rests longest. Who goes is asked only once all that came was read: a statement
 * may lie unread while this process has no CPU. Each place stands in one of four lists, so that
 * every call takes the same time however many there are.
 */
public final class Door {
  /**
   * What a connection is doing, in the order in which it may have to go: the silent first, the busy
   * never.
   */
  public enum Standing {
    UNHEARD,
    RESTING,
    BOOKED,
    BUSY
  }

  /** A connection's place in the house. */
  public static final class Place {
    private Standing standing;
    private long since;
    private Place before;
    private Place after;
    private final Object guest;

    private Place(Object guest) {
      this.guest = guest;
    }

    /** Whatever the caller keeps there. */
    public Object guest() {
      return guest;
    }

    public Standing standing() {
      return standing;
    }
  }

  /** A list of places, the one that came first at its head; the anchor stands for both ends. */
  private static final class Line {
    private final Place anchor = new Place(null);
    private int length;

    Line() {
      anchor.before = anchor;
      anchor.after = anchor;
    }

    void add(Place place) {
      place.before = anchor.before;
      place.after = anchor;
      anchor.before.after = place;
      anchor.before = place;
      length++;
    }

    void remove(Place place) {
      place.before.after = place.after;
      place.after.before = place.before;
      place.before = null;
      place.after = null;
      length--;
    }

    Place oldest() {
      return length == 0 ? null : anchor.after;
    }

    Place newest() {
      return length == 0 ? null : anchor.before;
    }
  }

  private static final long MS = 1_000_000L;

  // Between two accesses: longer let clients that ask once and stay shut others out, as three
  // hundred a second did;
  // harm: a client that comes back a moment later has to open another. Who comes is never left to
  // wait for it
  // unaccepted: that line is not seen, and was two seconds long when tried.
  private static final long RESTED = 100 * MS;
  // Without its first statement, which in 1,700 of 1,770 connections came in the turn of the accept
  // and in all others
  // within 64 ms: after that it is a silent one. Harm: to clients on a slow way, while the house is
  // full.
  private static final long UNHEARD_FOR = 150 * MS;
  // Where fewer accesses than this share come on a connection that had one before, clients ask once
  // and stay, and a
  // front that lets a router have so many connections has none left: 124 rested there while 77% of
  // the tries found no
  // connection and half of our places were free. Then those that rest longer go unasked. Harm: none
  // that was seen; a
  // client that would have come back opens another.
  private static final double REUSED = 0.5;
  private static final double REUSE_SMOOTH = 0.02; // weight of one access in that share: fifty back
  private static final int KEPT =
      8; // an eighth of the house may rest all the same: those are no crowd
  private static final long LATE_BY =
      250 * MS; // a client that was told when to return may be this late: a guess

  private final Line[] lines = new Line[Standing.values().length];
  private final long longestWait;
  private int most;
  private int open;
  private double reuse = 1;
  private boolean closing;

  /** With the most connections, and the longest wait that a client can be told. */
  public Door(int most, long longestWait) {
    this.most = most;
    this.longestWait = longestWait;
    for (int i = 0; i < lines.length; i++) {
      lines[i] = new Line();
    }
  }

  public int open() {
    return open;
  }

  public int most() {
    return most;
  }

  /** The house may grow or shrink while it is open. */
  public void most(int places) {
    most = Math.max(1, places);
  }

  public int open(Standing standing) {
    return lines[standing.ordinal()].length;
  }

  /** One that comes: it has a place until it leaves, or {@link #next} says that it goes. */
  public Place enter(Object guest, long now) {
    Place place = new Place(guest);
    place.standing = Standing.UNHEARD;
    place.since = now;
    lines[Standing.UNHEARD.ordinal()].add(place);
    open++;
    return place;
  }

  /**
   * What it does from now on; the last in the order of those that do the same, if it began that
   * just now.
   */
  public void stands(Place place, Standing standing, long now) {
    if (place.standing == null) {
      return; // it has left
    }
    boolean waitsStill = standing == Standing.UNHEARD && place.standing == standing;
    if (!waitsStill) {
      lines[place.standing.ordinal()].remove(place);
      place.standing = standing;
      place.since = now;
      lines[standing.ordinal()].add(place);
    }
  }

  /** An access came on a connection, its first or a further one. */
  public void asked(boolean again) {
    reuse += ((again ? 1 : 0) - reuse) * REUSE_SMOOTH;
  }

  /** Whoever leaves now cannot come back: only the silent go for those that still come. */
  public void closing() {
    closing = true;
  }

  /** One that rests in vain and goes although there is room, or null. */
  public Place restsInVain(long now) {
    boolean crowd = open(Standing.RESTING) > most / KEPT && reuse < REUSED && !closing;
    Place rested = lines[Standing.RESTING.ordinal()].oldest();
    return crowd && rested.since <= now - RESTED ? rested : null;
  }

  public void leave(Place place) {
    if (place.standing != null) {
      lines[place.standing.ordinal()].remove(place);
      place.standing = null;
      open--;
    }
  }

  public boolean isOverfull() {
    return open > most;
  }

  /**
   * Who goes now that the house is overfull, or null if there is none that may: then the newest is
   * to be refused. Ask only once all that had come was read, so that a statement on its way counts
   * as heard.
   */
  public Place next(long now) {
    Line booked = lines[Standing.BOOKED.ordinal()];
    for (Place late = booked.oldest();
        late != null && late.since <= now - longestWait - LATE_BY;
        late = booked.oldest()) {
      stands(
          late,
          Standing.RESTING,
          late.since + longestWait); // its time has passed; it rests since then
    }
    Place unheard = lines[Standing.UNHEARD.ordinal()].oldest();
    if (unheard != null && unheard.since <= now - UNHEARD_FOR) {
      return unheard;
    }
    Place rested = lines[Standing.RESTING.ordinal()].oldest();
    return rested != null && !closing && rested.since <= now - RESTED ? rested : null;
  }

  /** The last to come of those that have said nothing yet, or null: there is no room for it. */
  public Place newest() {
    return lines[Standing.UNHEARD.ordinal()].newest();
  }
}
