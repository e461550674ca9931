package rushwood.lab.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import rushwood.lab.net.Frames;
import rushwood.lab.net.Statement;

/**
 * Clients of one router that ask evenly, on as many connections as it takes; what was asked and
 * answered is counted.
 */
public final class Steady {
  private static final int WAITS = 2000; // ms for each answer

  private final String name;
  private final EventLoop loop;
  private final InetSocketAddress to;
  private final String product;
  private final Deque<Connection> idle = new ArrayDeque<>();
  private ScheduledFuture<?> beat;
  private long asked;
  private long fulfilled;
  private long refused;
  private long broken;

  /** {@code name} begins the id of each of its accesses. */
  public Steady(String name, EventLoop loop, InetSocketAddress to, String product) {
    this.name = name;
    this.loop = loop;
    this.to = to;
    this.product = product;
  }

  public void begin(int aSecond) {
    beat = loop.scheduleAtFixedRate(this::ask, 0, 1_000_000_000L / aSecond, TimeUnit.NANOSECONDS);
  }

  /** No more is asked; what is open stays. */
  public void pause() {
    beat.cancel(false);
  }

  public long asked() {
    return asked;
  }

  public long fulfilled() {
    return fulfilled;
  }

  /** Told an error: turned back, given up or not taken. */
  public long refused() {
    return refused;
  }

  /** Without an answer when the connection ended, or when it could not be opened. */
  public long broken() {
    return broken;
  }

  private void ask() {
    Connection connection = idle.poll();
    if (connection == null) {
      connection = new Connection();
      connection.open();
    }
    connection.ask();
  }

  private final class Connection extends SimpleChannelInboundHandler<Frames.Message> {
    private Channel channel;
    private boolean up;
    private boolean waits;
    private boolean error;

    private void open() {
      new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true)
          .handler(
              new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel made) {
                  channel = made;
                  made.pipeline().addLast(new Frames(false), Connection.this);
                }
              })
          .connect(to)
          .addListener(
              done -> {
                if (!done.isSuccess()) {
                  ended();
                }
              });
    }

    private void ask() {
      waits = true;
      error = false;
      if (up) {
        write();
      }
    }

    private void write() {
      ByteBuf out = channel.alloc().buffer(256);
      Frames.write(
          out, 'Q', Statement.of(false, "k" + asked % 100, name + asked, product, WAITS, 0) + "\0");
      asked++;
      channel.writeAndFlush(out);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      ByteBuf out = context.alloc().buffer(64);
      Frames.startup(out);
      context.writeAndFlush(out);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frames.Message message) {
      if (message.type() == 'E') {
        error = true;
      } else if (message.type() == 'Z' && !up) {
        up = true;
        write();
      } else if (message.type() == 'Z') {
        waits = false;
        fulfilled += error ? 0 : 1;
        refused += error ? 1 : 0;
        idle.push(this);
      }
    }

    private void ended() {
      idle.remove(this);
      broken += waits ? 1 : 0;
      waits = false;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      ended();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
