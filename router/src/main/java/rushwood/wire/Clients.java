package rushwood.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.RecvByteBufAllocator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.dispatch.Counters;
import rushwood.dispatch.Counters.Counter;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;

/** The connections of clients; reads and writes for {@link ClientProtocol}. */
public final class Clients extends ChannelInitializer<Channel> {
  // Bytes that a client may write ahead of its answers: eight of the longest statements. They are
  // read all the same, as
  // a client's end stands behind them and has to be seen. Of one that writes more, what is too much
  // is dropped, and the
  // connection ends behind the answer that is due, told why. Harm: to clients that pipeline more
  // than that.
  private static final int MOST_AHEAD = 1 << 20;
  private static final int MOST_WAITING = 64 << 10; // and while memory is short
  private static final long MOST_HELD =
      16 << 20; // bytes of statements: a third of the memory for buffers
  private static final long SHORT_HELD = MOST_HELD / 2; // from here on memory is short

  // In a full house what has come is read before anyone goes for one that comes: in so long a turn
  // of the loop passes.
  private static final long READ_FIRST = 1_000_000L;
  private static final int MARGIN =
      16; // let in meanwhile, from our own sockets: the accepts of a turn
  private static final int LINGERING =
      4; // ended ones that linger, from our own sockets too: more, the first go
  private static final long OWES =
      2_400_000_000L; // the longest for a message: an end is owed within 3 s
  private static final long LOOK = 200_000_000L; // between looks for those that owe or linger

  // Statements that cannot be taken, one after the other: then the connection is heard less often,
  // then closed.
  // Guards against clients that write the same again as soon as it is turned away; harm: none to
  // those that do not.
  private static final int REJECTED = 3;
  private static final int MOST_REJECTED = 12;
  private static final long PAUSE = 50_000_000L;

  // Reads up to where nothing more is here: an end that stands behind a statement is seen before
  // that is sent on.
  private static final int READS = 16; // a turn, up to 64 KiB each: the library's own figure
  private static final RecvByteBufAllocator READS_ALL =
      new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS);

  private final Set<Handler> open = new LinkedHashSet<>();
  private final Set<Lingering> ended =
      new LinkedHashSet<>(); // ended by us, not yet closed; the first to end first
  private final Map<Long, Handler> keys =
      new HashMap<>(); // looked up alone; each handler removes its own
  private final RandomGenerator chance;
  private final RequestDispatcher router;
  private final EventLoopClock clock;
  private final TimerQueue agenda;
  private final Counters counters;
  private final List<RequestClass> products;
  private final ConnectionAdmission door;
  private final DescriptorBudget sockets;
  private final LongSupplier comeBack;
  private boolean settling;
  private int accepted;
  private long held;
  private boolean ending;

  /**
   * With the house and its sockets, the wait in nanoseconds that one without a place there is told,
   * and the chance from which the keys of sessions are drawn.
   */
  public Clients(
      RequestDispatcher router,
      EventLoopClock clock,
      TimerQueue agenda,
      Counters counters,
      List<RequestClass> products,
      ConnectionAdmission door,
      DescriptorBudget sockets,
      LongSupplier comeBack,
      RandomGenerator chance) {
    this.router = router;
    this.clock = clock;
    this.agenda = agenda;
    this.counters = counters;
    this.products = products;
    this.door = door;
    this.sockets = sockets;
    this.comeBack = comeBack;
    this.chance = chance;
    look();
  }

  /**
   * Ends what is silent, half written or unread for long: such connections would fill the house.
   */
  private void look() {
    agenda.schedule(clock.now() + LOOK, this::look);
    List.copyOf(open).stream()
        .filter(each -> !counters.runSafely(each::look))
        .forEach(each -> each.channel.close());
    List.copyOf(ended).forEach(each -> each.lookAtEnd(clock.now()));
    sweep();
  }

  @Override
  protected void initChannel(Channel channel) {
    channel.config().setRecvByteBufAllocator(READS_ALL);
    door.setMaxConnections(sockets.maxClients(clock.now()));
    if (ending) {
      if (open() >= door.maxConnections() + MARGIN) {
        channel.close();
      } else {
        refuse(channel, "57P03", "this router ends", null);
      }
      return;
    } else if (door.openConnections() >= door.maxConnections() + MARGIN && !makeRoom()) {
      refuse(channel, "53300", "too many connections", ClientProtocol.millis(comeBack.getAsLong()));
      return;
    }
    counters.increment(Counter.CLIENTS_ACCEPTED);
    channel.pipeline().addLast(new Handler(channel));
    sockets.setOpenClients(open.size());
    sweep();
    if (door.isOverLimit() && !settling) {
      settling = true;
      agenda.schedule(clock.now() + READ_FIRST, this::settle);
    }
  }

  /** One that has no place: it can read why. */
  private void refuse(Channel channel, String code, String why, String wait) {
    counters.increment(Counter.CLIENTS_REFUSED);
    ByteBuf out = channel.alloc().buffer(128);
    Messages.error(out, true, code, why, wait);
    Lingering refused = new Lingering(channel);
    channel.pipeline().addLast(refused);
    channel.write(out);
    linger(refused);
  }

  /** Ended by us; where many are, the first has had the most time to end too. */
  private void linger(Lingering connection) {
    if (ended.size() >= LINGERING && !ending) {
      ended.iterator().next().channel.close();
    }
    ended.add(connection);
    connection.hangUp(clock.now());
    connection.channel.closeFuture().addListener(closed -> ended.remove(connection));
  }

  /** Those go that rest in vain, where clients ask once and stay. */
  private void sweep() {
    for (ConnectionAdmission.AdmittedConnection goes = door.idleToClose(clock.now());
        goes != null;
        goes = door.idleToClose(clock.now())) {
      ((Handler) goes.owner()).makeRoom();
    }
  }

  private boolean makeRoom() {
    ConnectionAdmission.AdmittedConnection goes = door.connectionToClose(clock.now());
    if (goes != null) {
      ((Handler) goes.owner()).makeRoom();
    }
    return goes != null;
  }

  /**
   * All that had come is read: whoever may goes for those that came, who else is here last finds no
   * room.
   */
  private void settle() {
    settling = false;
    while (door.isOverLimit() && makeRoom()) {
      continue;
    }
    for (ConnectionAdmission.AdmittedConnection newest = door.newestWithoutRequest();
        door.isOverLimit() && newest != null;
        newest = door.newestWithoutRequest()) {
      ((Handler) newest.owner()).findNoRoom();
    }
  }

  /** Connections, those included that end. */
  public int open() {
    return open.size() + ended.size();
  }

  /** Closes what is left: its time is over. */
  public void close() {
    List.copyOf(open).forEach(handler -> handler.channel.close());
    List.copyOf(ended).forEach(each -> each.channel.close());
  }

  /** The end is near: a connection that closes now cannot be opened anew here. */
  public void closing() {
    door.startShutdown();
  }

  /** Closes each connection as soon as no access is in it. */
  public void finish() {
    ending = true;
    List.copyOf(open).forEach(handler -> handler.protocol.finish());
  }

  private final class Handler extends Lingering implements ClientProtocol.Session {
    private final ClientProtocol protocol;
    private final long key = (long) ++accepted << Integer.SIZE | chance.nextInt() & 0xffffffffL;
    private RequestId access;
    private int asked;
    private int holds;
    private int rejected;
    private long lastWord = clock.now();
    private long owesFrom = lastWord;
    private boolean paused;
    private boolean told;
    private boolean tooMuch; // it wrote more ahead than is kept
    private boolean later; // asked for in this turn
    private boolean welcomed;
    private boolean heard; // it has had an answer
    private final ConnectionAdmission.AdmittedConnection place = door.admit(this, lastWord);

    Handler(Channel channel) {
      super(channel);
      protocol = new ClientProtocol(channel.alloc(), this);
      open.add(this);
      keys.put(key, this);
    }

    private void makeRoom() {
      counters.increment(Counter.CLIENTS_EVICTED);
      if (!heard) {
        counters.increment(Counter.CLIENTS_EVICTED_UNANSWERED);
      }
      end();
    }

    private void findNoRoom() {
      counters.increment(Counter.CLIENTS_REFUSED);
      protocol.refuse("53300", "too many connections", ClientProtocol.millis(comeBack.getAsLong()));
    }

    /**
     * Our end of it: from now on it has no place here, and nothing that it writes is read as a
     * statement.
     */
    private void end() {
      if (!isEnding()) {
        gone();
        linger(this);
      }
    }

    /** What it does now, for the door. */
    private void stand() {
      boolean between = protocol.isBetween();
      door.setState(
          place,
          !between
              ? ConnectionAdmission.ConnectionState.BUSY
              : !heard
                  ? ConnectionAdmission.ConnectionState.NEW
                  : told
                      ? ConnectionAdmission.ConnectionState.AWAITING_RETRY
                      : ConnectionAdmission.ConnectionState.IDLE,
          clock.now());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf in = (ByteBuf) message;
      if (isEnding()) {
        discard(in);
        return;
      }
      word();
      if (!protocol.isOwing()) {
        owesFrom = lastWord;
      }
      int ahead = protocol.waiting() + in.readableBytes();
      boolean behind = protocol.isWaiting() || paused || !channel.isWritable();
      tooMuch |=
          behind && ahead > MOST_AHEAD
              || ahead > MOST_WAITING && held > (behind ? SHORT_HELD : MOST_HELD);
      if (tooMuch) {
        in.release();
        return;
      }
      protocol.add(in);
      weigh();
      stand();
      later();
    }

    /**
     * What was read is gone on with once its end would have been read too: then nobody waits for
     * it.
     */
    private void goOn() {
      later = false;
      if (!counters.runSafely(this::proceed)) {
        channel.close(); // what it holds must not wait for more to come
      }
    }

    private void proceed() {
      if (isEnding() || !channel.isOpen() || paused || !channel.isWritable()) {
        return;
      }
      if (rejected > MOST_REJECTED) {
        protocol.refuse("08P01", "too many statements that cannot be taken", null);
        return;
      }
      protocol.resume();
      weigh();
      if (tooMuch && !protocol.isWaiting() && !isEnding()) {
        counters.increment(Counter.CLIENTS_REFUSED);
        protocol.refuse("53300", "too much was written ahead of its answers", null);
      } else if (held > MOST_HELD
          && protocol.waiting() > MOST_WAITING
          && protocol.isOwing()
          && !isEnding()) {
        // An access that is open keeps its place: only what is half written can be refused.
        counters.increment(Counter.CLIENTS_REFUSED);
        protocol.refuse("53300", "memory is short", null);
      }
      stand();
    }

    private void word() {
      lastWord = clock.now();
    }

    private void look() {
      long now = clock.now();
      if (!channel.isWritable() && lastWord <= now - OWES) {
        channel.close();
      } else if (protocol.isOwing() && owesFrom <= now - OWES) {
        counters.increment(Counter.CLIENTS_TIMED_OUT);
        protocol.refuse("08P01", "the message did not come in time", null);
      }
    }

    /**
     * Keeps count of what is held for this client: what it wrote ahead, and the access that is
     * open.
     */
    private void weigh() {
      int now =
          isEnding() || !open.contains(this)
              ? 0
              : protocol.waiting() + (protocol.isWaiting() ? asked : 0);
      held += now - holds;
      holds = now;
    }

    /**
     * What it does not read may not fill our memory: until it has, no further statement is taken.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      later();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      gone();
    }

    private void gone() {
      if (open.remove(this)) {
        keys.remove(key);
        door.remove(place);
        sockets.setOpenClients(open.size());
        counters.increment(Counter.CLIENTS_CLOSED);
        weigh();
        protocol.closed();
        if (access != null) {
          router.clientDisconnected(access);
        }
      }
    }

    @Override
    public long key() {
      return key;
    }

    @Override
    public void cancel(long other) {
      Handler at = keys.get(other);
      if (at != null && at.protocol.isWaiting()) {
        router.clientDisconnected(at.access);
        at.protocol.cancelled();
      }
    }

    @Override
    public void left() {
      router.clientDisconnected(access);
    }

    @Override
    public boolean ready() {
      return router.hasEndpoints();
    }

    @Override
    public void access(ByteBuf text) throws Fault {
      SqlStatement statement = new SqlStatement(text, products);
      if (held + text.readableBytes() > MOST_HELD) {
        statement.release();
        throw new Fault("53300", "memory is short: trying again is harmless", false);
      }
      boolean twice = router.isRequestIdInUse(statement.id());
      if (twice || !router.hasGroup(statement.group())) {
        statement.release();
        throw new Fault("22023", twice ? "the id is not new" : "the cluster is unknown", false);
      }
      rejected = 0;
      door.recordRequest(access != null);
      access = statement.id();
      asked = text.readableBytes();
      told = false;
      router.requestReceived(statement, protocol);
    }

    @Override
    public int counters(ByteBuf out) {
      int[] rows = new int[1];
      counters.forEach(
          (name, value) -> {
            Messages.row(out, name, Long.toString(value));
            rows[0]++;
          });
      return rows[0];
    }

    @Override
    public void rejected(Fault fault) {
      counters.increment(Counter.STATEMENTS_REJECTED);
      boolean ours = fault.state.equals("53300") || fault.state.equals("57P03");
      if (!ours && ++rejected > REJECTED) {
        paused = true;
        agenda.schedule(
            clock.now() + PAUSE,
            () -> {
              paused = false;
              later();
            });
      }
    }

    @Override
    public void write(ByteBuf out) {
      word();
      heard |= welcomed;
      welcomed |= !protocol.isStarting();
      if (!protocol.isStarting()) {
        owesFrom = lastWord;
      }
      channel.writeAndFlush(out);
      weigh();
      stand();
      if (tooMuch) {
        later();
      }
    }

    @Override
    public void booked() {
      told = true;
    }

    @Override
    public void close() {
      end();
    }

    @Override
    public void later() {
      if (!later) {
        later = true;
        channel.eventLoop().execute(this::goOn);
      }
    }
  }
}
