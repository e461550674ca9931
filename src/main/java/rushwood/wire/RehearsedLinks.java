package rushwood.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import rushwood.state.Link;

/** Links to hosts that are not there and answer each statement with a row, to rehearse before a start. */
public final class RehearsedLinks implements Link.Opener {
    private final ByteBufAllocator allocator;
    private final Deque<Runnable> due = new ArrayDeque<>();

    public RehearsedLinks(ByteBufAllocator allocator) {
        this.allocator = allocator;
    }

    /** Lets the hosts answer what they were asked. */
    public void answer() {
        for (Runnable next = due.poll(); next != null; next = due.poll()) {
            next.run();
        }
    }

    /** What a client writes to ask for that statement, its startup message first if so wanted. */
    public ByteBuf asked(boolean first, String statement) {
        ByteBuf query = Messages.query(allocator, statement);
        if (!first) {
            return query;
        }
        ByteBuf both = Messages.startup(allocator).writeBytes(query);
        query.release();
        return both;
    }

    @Override
    public Link open(InetSocketAddress to, Link.Events events) {
        HostProtocol protocol = new HostProtocol(allocator, events);
        due.add(() -> {
            ByteBuf out = allocator.buffer(256);
            Messages.welcome(out);
            protocol.feed(out);
        });
        return new Link() {
            private boolean open = true;

            @Override
            public void ask(ByteBuf statement, boolean probe) {
                statement.release();
                protocol.asked(probe);
                due.add(() -> {
                    if (open) {
                        protocol.feed(row());
                        protocol.settle();
                    }
                });
            }

            @Override
            public boolean written() {
                return true;
            }

            @Override
            public boolean open() {
                return open;
            }

            @Override
            public void close() {
                open = false;
                protocol.closed();
            }
        };
    }

    private ByteBuf row() {
        ByteBuf out = allocator.buffer(256);
        Messages.columns(out, "val");
        Messages.row(out, "x0=0,x1=0");
        Messages.complete(out, "SELECT 1");
        Messages.parameter(out, "part", "replica");
        Messages.parameter(out, "gauges", "x0=0,x1=0");
        Messages.ready(out);
        return out;
    }
}
