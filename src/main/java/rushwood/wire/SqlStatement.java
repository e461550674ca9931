package rushwood.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushwood.api.Access;
import rushwood.api.AccessId;
import rushwood.api.GroupId;
import rushwood.api.Product;
import rushwood.api.SessionId;
import rushwood.state.Statement;

/** A client's statement and the comment at its end; passed on unchanged but for the time in it. */
final class SqlStatement implements Statement {
    private static final long MS = 1_000_000L;
    private static final int LONGEST_ID = 128; // bytes; longer than any id in use, short in memory

    private final ByteBuf text;
    private final Map<String, String> fields = new HashMap<>();
    private int timeFrom;
    private int timeTo;
    private final boolean write;
    private final SessionId key;
    private final Product product;
    private final GroupId group;
    private final long waits;
    private final long after;

    /** Reads the text of a Query message without its closing zero, which it retains if all is well. */
    SqlStatement(ByteBuf text, List<Product> products) throws Fault {
        this.text = text;
        write = starts("INSERT ");
        if (!write && !starts("SELECT ")) {
            throw new Fault("42601", "neither SELECT nor INSERT", false);
        }
        readComment();
        key = new SessionId(readKey());
        product = product(products);
        if (write != (product.need() == Product.Need.WRITE)) {
            throw impossible("c", "does not go with the statement");
        }
        String id = need("id");
        if (id.length() > LONGEST_ID) {
            throw impossible("id", "is too long");
        }
        group = new GroupId(fields.containsKey("cluster") ? (int) number("cluster", Integer.MAX_VALUE) : -1);
        waits = number("d", Integer.MAX_VALUE) * MS;
        if (waits == 0) {
            throw impossible("d", "leaves no time");
        }
        after = fields.containsKey("after") ? number("after", Long.MAX_VALUE / MS) * MS : 0;
        text.retain();
    }

    private boolean starts(String word) {
        boolean is = text.readableBytes() >= word.length();
        for (int i = 0; is && i < word.length(); i++) {
            is = (text.getByte(text.readerIndex() + i) & ~0x20) == (word.charAt(i) & ~0x20);
        }
        return is;
    }

    private int find(char c, int from, int to) {
        return from >= to ? -1 : text.indexOf(from, to, (byte) c);
    }

    /** The comment ends the statement: its fields, and where the digits of the time stand. */
    private void readComment() throws Fault {
        int end = text.writerIndex();
        while (end > text.readerIndex() && (text.getByte(end - 1) <= ' ' || text.getByte(end - 1) == ';')) {
            end--;
        }
        int at = end - 2;
        if (at < text.readerIndex() || text.getByte(at) != '*' || text.getByte(at + 1) != '/') {
            throw new Fault("42601", "no comment ends the statement", false);
        }
        int from = at - 1;
        while (from > text.readerIndex() && !(text.getByte(from) == '*' && text.getByte(from - 1) == '/')) {
            from--;
        }
        if (from <= text.readerIndex()) {
            throw new Fault("42601", "the comment has no beginning", false);
        }
        for (int start = from + 1; start <= at;) {
            int comma = find(',', start, at);
            int to = comma < 0 ? at : comma;
            readField(start, to);
            start = to + 1;
        }
    }

    private void readField(int start, int end) throws Fault {
        int from = start;
        int to = end;
        while (from < to && text.getByte(from) == ' ') {
            from++;
        }
        while (to > from && text.getByte(to - 1) == ' ') {
            to--;
        }
        int equals = find('=', from, to);
        if (equals < 0) {
            throw new Fault("42601", "a field without a value", false);
        }
        String name = text.toString(from, equals - from, StandardCharsets.UTF_8);
        if (fields.put(name, text.toString(equals + 1, to - equals - 1, StandardCharsets.UTF_8)) != null) {
            throw new Fault("42601", "the field " + name + " stands twice", false);
        }
        if (name.equals("d")) {
            timeFrom = equals + 1;
            timeTo = to;
        }
    }

    private String readKey() throws Fault {
        int from = find('\'', text.readerIndex(), text.writerIndex());
        int to = from < 0 ? -1 : find('\'', from + 1, text.writerIndex());
        if (to < 0) {
            throw new Fault("42601", "no key in quotes", false);
        }
        return text.toString(from + 1, to - from - 1, StandardCharsets.UTF_8);
    }

    private Product product(List<Product> products) throws Fault {
        Product product = Product.named(products, need("c"));
        if (product == null) {
            throw impossible("c", "names no product");
        }
        return product;
    }

    private String need(String field) throws Fault {
        String value = fields.get(field);
        if (value == null || value.isEmpty()) {
            throw new Fault("42601", "the field " + field + " is missing", false);
        }
        return value;
    }

    private static Fault impossible(String field, String why) {
        return new Fault("22023", "the field " + field + " " + why, false);
    }

    private long number(String field, long most) throws Fault {
        try {
            long value = Long.parseLong(need(field));
            if (value >= 0 && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw impossible(field, "is no such number");
    }

    AccessId id() {
        return new AccessId(fields.get("id"));
    }

    GroupId group() {
        return group;
    }

    @Override
    public Access access(long now, long cameAt, long last) {
        boolean session = write || product.need() == Product.Need.SESSION;
        long sinceWrite = after == 0 ? 0 : Math.max(1, now - after);
        return new Access(id(), product, session ? key : null, group, Math.min(cameAt + waits, last),
                sinceWrite);
    }

    @Override
    public ByteBuf message(long millis) {
        String time = Long.toString(millis);
        int from = text.readerIndex();
        int length = text.readableBytes() - (timeTo - timeFrom) + time.length() + 1;
        ByteBuf head = text.alloc().buffer(5).writeByte('Q').writeInt(4 + length);
        ByteBuf tail = text.alloc().buffer(time.length()).writeBytes(time.getBytes(StandardCharsets.US_ASCII));
        return Unpooled.wrappedBuffer(head, text.retainedSlice(from, timeFrom - from), tail,
                text.retainedSlice(timeTo, text.writerIndex() - timeTo),
                Unpooled.wrappedBuffer(new byte[1]));
    }

    @Override
    public void release() {
        text.release();
    }
}
