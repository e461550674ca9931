package rushwood.testbed.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rushwood.testbed.model.HostModel;
import rushwood.testbed.model.RequestKind;
import rushwood.testbed.model.TestbedRequestClass;

/**
 * A database server on a loopback address that speaks PostgreSQL's protocol 3 and behaves as a
 * {@link HostModel} decides. All stand-ins of an experiment share one event loop and one clock.
 * Once a router is connected, all methods except {@link #listen}, {@link #address} and {@link
 * #close} must be called on the event loop.
 */
public final class StandinHost {
  private static final int INITIAL_BUFFER_BYTES = 256;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final HostModel model;
  private final EventLoop loop;
  private final LongSupplier clock;
  private final LoopbackListener listener;
  private final Consumer<Statement> executionListener;
  private Consumer<Statement> arrivalListener = statement -> {};
  private int partialResponseBytes; // 0 for whole responses
  private long acceptedConnections;
  private long receivedRequests;
  private long overloadedReplies;

  /**
   * Creates a host that does not listen yet.
   *
   * @param clock returns the time in nanoseconds; must never go back
   * @param executionListener is called for each statement that was executed
   */
  public StandinHost(
      HostModel model, EventLoop loop, LongSupplier clock, Consumer<Statement> executionListener) {
    this.model = model;
    this.loop = loop;
    this.clock = clock;
    this.executionListener = executionListener;
    listener = new LoopbackListener(loop, this::initialize);
  }

  private void initialize(Channel channel) {
    acceptedConnections++;
    channel.pipeline().addLast(MessageDecoder.forServer(), new ConnectionHandler());
  }

  /** Returns the model that decides how the host behaves. */
  public HostModel model() {
    return model;
  }

  /** Returns the address on which the host listens, also after a crash. */
  public InetSocketAddress address() {
    return listener.address();
  }

  /** Sets a listener that is called for each statement on arrival, whatever its outcome. */
  public void setArrivalListener(Consumer<Statement> arrivalListener) {
    this.arrivalListener = arrivalListener;
  }

  /**
   * From now on answers each statement with a part of the longest row, after which nothing follows.
   *
   * @param bytes the length of that part
   */
  public void sendPartialResponses(int bytes) {
    partialResponseBytes = bytes;
  }

  /** Returns the number of connections accepted so far. */
  public long acceptedConnections() {
    return acceptedConnections;
  }

  /** Returns the number of statements that have arrived so far. */
  public long receivedRequests() {
    return receivedRequests;
  }

  /** Returns the number of statements refused so far because the queue was full. */
  public long overloadedReplies() {
    return overloadedReplies;
  }

  /** Starts listening and waits until the host listens. Must not be called on the event loop. */
  public void listen() throws InterruptedException {
    listener.listen();
  }

  /** Crashes the host's process: open connections are reset and new ones are refused. */
  public void crash() {
    model.crash();
    listener.close();
  }

  /** Starts a new process of the host at the same address. */
  public void restart() {
    model.restart(clock.getAsLong());
    listener.open();
  }

  /** Closes the listening socket and all connections. */
  public void close() {
    listener.close();
  }

  /** Handles the server side of the protocol on one connection. */
  private final class ConnectionHandler extends SimpleChannelInboundHandler<ProtocolMessage> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ProtocolMessage message) {
      ByteBuf out = context.alloc().buffer(INITIAL_BUFFER_BYTES);
      switch (message.type()) {
        case ProtocolMessage.STARTUP -> MessageEncoder.writeStartupResponse(out);
        case ProtocolMessage.QUERY -> handleQuery(context, message, out);
        default -> context.close();
      }
      writeOrRelease(context, out);
    }

    private void handleQuery(ChannelHandlerContext context, ProtocolMessage message, ByteBuf out) {
      String text = message.body().substring(0, message.body().length() - 1);
      if (text.startsWith("SHOW")) {
        writeLoadReport(out);
      } else {
        handleStatement(context, Statement.parse(text), out);
      }
    }

    private void handleStatement(ChannelHandlerContext context, Statement statement, ByteBuf out) {
      receivedRequests++;
      arrivalListener.accept(statement);
      long now = clock.getAsLong();
      HostModel.OfferResult result = model.offer(now, kindOf(statement));
      switch (result.status()) {
        case NO_RESPONSE -> {
          if (!model.isUp()) {
            crash(); // the model crashed because of overload
          }
        }
        case OVERLOADED -> {
          overloadedReplies++;
          writeError(out, ErrorCodes.TOO_MANY_CONNECTIONS);
        }
        case NOT_PRIMARY -> writeError(out, ErrorCodes.READ_ONLY_TRANSACTION);
        case REPLICA_LAGGING -> writeError(out, ErrorCodes.SNAPSHOT_TOO_OLD);
        case ACCEPTED -> {
          int incarnation = model.incarnation();
          loop.schedule(
              () -> complete(context, statement, incarnation),
              result.completesAt() - now,
              TimeUnit.NANOSECONDS);
        }
      }
    }

    private RequestKind kindOf(Statement statement) {
      if (statement.isWrite()) {
        return RequestKind.WRITE;
      }
      return statement.requestClassName().equals(TestbedRequestClass.EVENTUAL_READ.wireName())
          ? RequestKind.EVENTUAL_READ
          : RequestKind.BOUNDED_READ;
    }

    /** Answers a statement, unless the process that accepted it has crashed in the meantime. */
    private void complete(ChannelHandlerContext context, Statement statement, int incarnation) {
      if (model.incarnation() != incarnation) {
        return;
      }
      executionListener.accept(statement);
      ByteBuf out = context.alloc().buffer(INITIAL_BUFFER_BYTES);
      if (partialResponseBytes > 0) {
        MessageEncoder.writePartOfLongestRow(out, partialResponseBytes);
        context.writeAndFlush(out);
        return;
      }
      MessageEncoder.writeRow(out, statement.key());
      writeRoleAndReady(out);
      context.writeAndFlush(out);
    }

    private void writeError(ByteBuf out, String sqlState) {
      MessageEncoder.writeError(out, sqlState);
      writeRoleAndReady(out);
    }

    /**
     * Writes a load report with the names that the router's settings list: the position in seconds
     * as x0, and x1, which is 1 on a primary and 0 on a replica.
     */
    private void writeLoadReport(ByteBuf out) {
      long positionMillis = model.position(clock.getAsLong()) / NANOS_PER_MILLI;
      String seconds = positionMillis / 1000 + "." + String.format("%03d", positionMillis % 1000);
      MessageEncoder.writeRow(out, "x0=" + seconds + ",x1=" + (model.isPrimary() ? 1 : 0));
      MessageEncoder.writeReadyForQuery(out);
    }

    private void writeRoleAndReady(ByteBuf out) {
      MessageEncoder.writeParameterStatus(out, "part", EndpointEntry.formatRole(model.isPrimary()));
      MessageEncoder.writeParameterStatus(
          out, "caught_up_to", Long.toString(model.position(clock.getAsLong()) / NANOS_PER_MILLI));
      MessageEncoder.writeReadyForQuery(out);
    }

    private void writeOrRelease(ChannelHandlerContext context, ByteBuf out) {
      if (out.isReadable()) {
        context.writeAndFlush(out);
      } else {
        out.release();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
