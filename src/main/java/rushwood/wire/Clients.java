package rushwood.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import rushwood.api.AccessId;
import rushwood.api.Product;
import rushwood.state.Counters;
import rushwood.state.Counters.Count;
import rushwood.state.Router;

/** The connections of clients; reads and writes for {@link ClientProtocol}. */
public final class Clients extends ChannelInitializer<Channel> {
    private static final int MOST_WAITING = 64 << 10; // bytes read behind an access, until no more are read

    private static final long MOST_HELD = 16 << 20; // bytes of statements: a third of the memory for buffers

    private final Set<Handler> open = new LinkedHashSet<>();
    private final Router router;
    private final Counters counters;
    private final List<Product> products;
    private final int most;
    private long held;
    private boolean ending;

    public Clients(Router router, Counters counters, List<Product> products, int most) {
        this.router = router;
        this.counters = counters;
        this.products = products;
        this.most = most;
    }

    @Override
    protected void initChannel(Channel channel) {
        if (open.size() >= most) {
            counters.add(Count.CLIENTS_REFUSED);
            ByteBuf out = channel.alloc().buffer(128);
            Messages.error(out, true, "53300", "too many connections", null);
            channel.writeAndFlush(out).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        counters.add(Count.CLIENTS_ACCEPTED);
        channel.pipeline().addLast(new Handler(channel));
    }

    public int open() {
        return open.size();
    }

    /** Closes each connection as soon as no access is in it. */
    public void finish() {
        ending = true;
        List.copyOf(open).forEach(handler -> handler.protocol.finish());
    }

    private final class Handler extends ChannelInboundHandlerAdapter implements ClientProtocol.Session {
        private final Channel channel;
        private final ClientProtocol protocol;
        private AccessId access;
        private int asked;
        private int holds;
        private boolean closing;

        Handler(Channel channel) {
            this.channel = channel;
            protocol = new ClientProtocol(channel.alloc(), this);
            open.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (closing) {
                ((ByteBuf) message).release();
                return;
            }
            protocol.feed((ByteBuf) message);
            throttle();
            weigh();
            if (held > MOST_HELD && protocol.waiting() > MOST_WAITING && !closing) {
                counters.add(Count.CLIENTS_REFUSED);
                protocol.refuse("memory is short");
            }
        }

        /** Keeps count of what is held for this client: what it wrote ahead, and the access that is open. */
        private void weigh() {
            int now = closing ? 0 : protocol.waiting() + (protocol.isWaiting() ? asked : 0);
            held += now - holds;
            holds = now;
        }

        /** Neither what it writes ahead nor what it does not read may fill our memory. */
        private void throttle() {
            // Only behind an access: a long statement that is half read needs the rest of it.
            boolean ahead = protocol.isWaiting() && protocol.waiting() > MOST_WAITING;
            channel.config().setAutoRead(!ahead && channel.isWritable());
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            throttle();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (open.remove(this)) {
                counters.add(Count.CLIENTS_CLOSED);
                closing = true;
                weigh();
                protocol.closed();
                if (access != null) {
                    router.left(access);
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        public boolean ready() {
            return router.hasList();
        }

        @Override
        public void access(ByteBuf text) throws Fault {
            SqlStatement statement = new SqlStatement(text, products);
            if (held + text.readableBytes() > MOST_HELD) {
                statement.release();
                throw new Fault("53300", "memory is short: trying again is harmless", false);
            }
            boolean twice = router.isOpen(statement.id());
            if (twice || !router.knows(statement.group())) {
                statement.release();
                throw new Fault("22023", twice ? "the id is in use" : "the cluster is unknown", false);
            }
            access = statement.id();
            asked = text.readableBytes();
            router.arrived(statement, protocol);
        }

        @Override
        public int counters(ByteBuf out) {
            int[] rows = new int[1];
            counters.each((name, value) -> {
                Messages.row(out, name, Long.toString(value));
                rows[0]++;
            });
            return rows[0];
        }

        @Override
        public void rejected(Fault fault) {
            counters.add(Count.STATEMENTS_REJECTED);
        }

        @Override
        public void write(ByteBuf out) {
            channel.writeAndFlush(out);
            weigh();
        }

        @Override
        public void close() {
            closing = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void later() {
            channel.eventLoop().execute(() -> {
                if (!closing) {
                    protocol.resume();
                    throttle();
                }
            });
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            if (ending) {
                protocol.finish();
            }
        }
    }
}
