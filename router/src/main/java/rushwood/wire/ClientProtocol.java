package rushwood.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import rushwood.dispatch.ClientResponder;

/**
 * The client side of the protocol, fed what a client writes. One statement at a time: what follows
 * waits unread until the answer is out, as it does at a database.
 */
final class ClientProtocol implements ClientResponder {
  /** What the protocol needs of its connection and of the router. */
  interface Session {
    boolean ready();

    /** An access; its answer comes through the methods of {@link Client}. */
    void access(ByteBuf text) throws Fault;

    /** Writes the counters as rows. */
    int counters(ByteBuf out);

    void rejected(Fault fault);

    /** Takes the buffer over. */
    void write(ByteBuf out);

    /** The answer that is written next tells when to come back. */
    void booked();

    /** By what a request on another connection cancels what runs on this one. */
    long key();

    /** Such a request. */
    void cancel(long key);

    /** Its client ended the session while its access was open. */
    void left();

    /** Ends it once all is written. */
    void close();

    /** Calls {@link ClientProtocol#resume} in a later turn. */
    void later();
  }

  private enum State {
    START,
    IDLE,
    WAITING,
    SKIPPING,
    ENDED
  }

  private static final int LONGEST =
      256 << 10; // a value of 64 KiB is 128 KiB as hex, and as much again
  private static final int LONGEST_START = 10_000; // as at PostgreSQL
  private static final String EXTENDED =
      "PBDECFHdcf"; // answered with an error, skipped up to their Sync
  private static final int ENCRYPTION = 80877103;
  private static final int GSS = 80877104;
  private static final int CANCEL = 80877102;
  private static final int KEY = 8;
  private static final char TERMINATE = 'X';
  private static final String ADMIN = "SHOW COUNTERS";

  private final ByteBufAllocator allocator;
  private final Session session;
  private final Frames frames;
  private State state = State.START;
  private ByteBuf asked;
  private boolean ending;

  ClientProtocol(ByteBufAllocator allocator, Session session) {
    this.allocator = allocator;
    this.session = session;
    frames = new Frames(allocator, ClientProtocol::longest);
  }

  private static int longest(int type) {
    return switch (type) {
      case 0 -> LONGEST_START;
      case 'X', 'S' -> 4;
      case 'Q' -> LONGEST;
      default -> EXTENDED.indexOf(type) >= 0 ? LONGEST : 0;
    };
  }

  /** Takes the buffer over, for {@link #resume} to go on with. */
  void add(ByteBuf in) {
    frames.feed(in);
  }

  /** Takes the buffer over and goes on with it. */
  void feed(ByteBuf in) {
    add(in);
    resume();
  }

  /**
   * Goes on with what was read, up to an access that has to wait for its answer; looks behind that
   * for its end.
   */
  void resume() {
    ByteBuf out = allocator.buffer(256);
    try {
      boolean more = true;
      while (more && (state == State.START || state == State.IDLE || state == State.SKIPPING)) {
        more = state == State.START ? start(out) : message(out);
      }
    } catch (Fault fault) {
      session.rejected(fault);
      Messages.error(out, true, fault.state, fault.getMessage(), null);
      state = State.ENDED;
    }
    if (out.isReadable()) {
      session.write(out);
    } else {
      out.release();
    }
    // Whoever has terminated waits for nothing any more, however much it wrote before.
    if ((asked != null || state == State.WAITING) && frames.isAhead(TERMINATE)) {
      boolean open = asked == null;
      asked = null;
      state = State.ENDED;
      if (open) {
        session.left();
      }
    } else if (asked != null) {
      take();
    }
    rest();
  }

  /** Hands an access over, after what was to be written before its answer. */
  private void take() {
    ByteBuf text = asked;
    asked = null;
    try {
      session.access(text);
    } catch (Fault fault) {
      session.rejected(fault);
      answerWith(fault.state, fault.getMessage(), null);
    }
  }

  private void rest() {
    if (ending && isBetween()) {
      state = State.ENDED;
    }
    if (state == State.ENDED) {
      frames.close();
      session.close();
    } else {
      frames.trim();
    }
  }

  private boolean start(ByteBuf out) throws Fault {
    ByteBuf message = frames.untyped();
    if (message == null) {
      return false;
    }
    if (message.readableBytes() < 4) {
      throw Fault.lost("a startup message without a version");
    }
    int version = message.readInt();
    if (version == ENCRYPTION || version == GSS) {
      out.writeByte('N');
    } else if (version == CANCEL) {
      state =
          State.ENDED; // with no answer, by the protocol: nobody learns whether the key was right
      if (message.readableBytes() == KEY) {
        session.cancel(message.readLong());
      }
    } else if (version >> 16 != Messages.VERSION >> 16) {
      throw new Fault("0A000", "only version 3 of the protocol is spoken", true);
    } else {
      if (version != Messages.VERSION) {
        Messages.negotiate(out);
      }
      Messages.welcome(out, session.key());
      state = State.IDLE;
    }
    return true;
  }

  private boolean message(ByteBuf out) throws Fault {
    ByteBuf message = frames.typed();
    if (message == null) {
      return false;
    }
    char type = frames.type();
    if (type == TERMINATE) {
      state = State.ENDED;
    } else if (type == 'S') {
      state = State.IDLE;
      Messages.ready(out);
    } else if (type == 'Q') {
      if (state != State.SKIPPING) {
        query(message, out);
      }
    } else if (state != State.SKIPPING && type != 'H') {
      state = State.SKIPPING; // up to the Sync that ends what we do not speak
      Messages.error(out, false, "0A000", "only simple queries are taken", null);
    }
    return true;
  }

  private void query(ByteBuf message, ByteBuf out) {
    try {
      int end = message.indexOf(message.readerIndex(), message.writerIndex(), (byte) 0);
      if (end != message.writerIndex() - 1) {
        throw new Fault("08P01", "the query does not end with its zero", false);
      }
      ByteBuf text = message.slice(message.readerIndex(), end - message.readerIndex());
      if (text.readableBytes() <= ADMIN.length() + 2 && small(text, out)) {
        return;
      }
      asked = text;
      state = State.WAITING;
    } catch (Fault fault) {
      session.rejected(fault);
      Messages.error(out, false, fault.state, fault.getMessage(), null);
      Messages.ready(out);
    }
  }

  /** Statements that need no host. */
  private boolean small(ByteBuf text, ByteBuf out) throws Fault {
    String words =
        text.toString(StandardCharsets.UTF_8).replace(';', ' ').strip().toUpperCase(Locale.ROOT);
    if (!words.isEmpty() && !words.equals(ADMIN)) {
      return false;
    }
    if (words.equals(ADMIN)) {
      Messages.columns(out, "counter", "value");
      Messages.complete(out, "SELECT " + session.counters(out));
    } else if (session.ready()) {
      Messages.bare(out, 'I');
    } else {
      throw new Fault("57P03", "not ready yet", false);
    }
    Messages.ready(out);
    return true;
  }

  // ---- answers

  @Override
  public void sendResult(ByteBuf row) {
    ByteBuf ready = allocator.buffer(6);
    Messages.ready(ready);
    answer(Unpooled.wrappedBuffer(row, ready));
  }

  @Override
  public void sendRejection(long advice) {
    if (advice > 0) {
      session.booked();
    }
    answerWith("53300", "turned back: trying again is harmless", millis(advice));
  }

  /** A wait as it is told: whole milliseconds, rounded up; null for none. */
  static String millis(long advice) {
    return advice > 0 ? Long.toString((advice + 999_999) / 1_000_000) : null;
  }

  @Override
  public void sendFailure() {
    answerWith("58000", "given up: it may have run", null);
  }

  /** Its client asked for that, and is owed an answer all the same. */
  void cancelled() {
    answerWith("57014", "canceling statement due to user request", null);
  }

  private void answerWith(String code, String message, String detail) {
    ByteBuf out = allocator.buffer(128);
    Messages.error(out, false, code, message, detail);
    Messages.ready(out);
    answer(out);
  }

  private void answer(ByteBuf out) {
    if (state != State.WAITING) {
      out.release();
      return;
    }
    state = State.IDLE;
    session.write(out);
    if (frames.waiting() > 0) {
      session.later();
    } else if (ending) {
      rest(); // with the answer: a turn later its client may have asked again
    }
  }

  // ---- the end

  /** From now on the connection closes as soon as no access is in it, read or half read. */
  void finish() {
    ending = true;
    if (isBetween()) {
      resume();
    }
  }

  /** Whether no access is in it, open or half read. */
  boolean isBetween() {
    return (state == State.IDLE || state == State.START) && frames.waiting() == 0;
  }

  /** Whether it owes us something: its startup message, or the rest of a message. */
  boolean isOwing() {
    return state == State.START
        || frames.waiting() > 0 && (state == State.IDLE || state == State.SKIPPING);
  }

  boolean isStarting() {
    return state == State.START;
  }

  /** Bytes read that wait behind an access, or for the rest of their message. */
  int waiting() {
    return frames.waiting();
  }

  /** Whether an access waits for its answer. */
  boolean isWaiting() {
    return state == State.WAITING;
  }

  /** Ends a connection that there is no room for. */
  void refuse(String code, String why, String wait) {
    ByteBuf out = allocator.buffer(128);
    Messages.error(out, true, code, why, wait);
    session.write(out);
    state = State.ENDED;
    rest();
  }

  /** The connection is gone. */
  void closed() {
    state = State.ENDED;
    frames.close();
  }
}
