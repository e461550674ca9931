package rushwood.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.nio.charset.StandardCharsets;
import rushwood.api.LoadReport;
import rushwood.api.ShotEnd;
import rushwood.state.HostAnswer;
import rushwood.state.Link;

/** The host side of the protocol, fed what a host writes. */
final class HostProtocol {
    private enum State { OPENING, IDLE, ASKED, ENDED }

    private static final int LONGEST = 1 << 20; // far above a value of 64 KiB, well below what memory holds

    private final ByteBufAllocator allocator;
    private final Link.Events events;
    private final Frames frames;
    private State state = State.OPENING;
    private boolean probing;
    private CompositeByteBuf row;
    private char last;
    private String value;
    private ShotEnd end;
    private Boolean primary;
    private long position;
    private LoadReport report;

    HostProtocol(ByteBufAllocator allocator, Link.Events events) {
        this.allocator = allocator;
        this.events = events;
        frames = new Frames(allocator, LONGEST);
    }

    /** A statement is about to be written. */
    void asked(boolean probe) {
        state = State.ASKED;
        probing = probe;
        begin();
    }

    private void begin() {
        dropRow();
        last = 0;
        end = null;
        primary = null;
        position = -1;
        report = LoadReport.NONE;
        value = null;
    }

    boolean usable() {
        return state == State.IDLE;
    }

    /** Takes the buffer over; false if the connection cannot be used any more and is to be closed. */
    boolean feed(ByteBuf in) {
        frames.feed(in);
        try {
            for (ByteBuf message = frames.typed(); message != null; message = next()) {
                take(message);
            }
            frames.trim();
            return state != State.ENDED;
        } catch (Fault fault) {
            return false;
        }
    }

    private ByteBuf next() throws Fault {
        return state == State.ENDED ? null : frames.typed();
    }

    private void take(ByteBuf message) throws Fault {
        char type = frames.type();
        switch (type) {
            case 'N', 'K' -> { }
            case 'S' -> parameter(message);
            case 'R' -> {
                if (state != State.OPENING || message.readableBytes() < 4 || message.readInt() != 0) {
                    throw Fault.lost("an unexpected authentication message");
                }
            }
            case 'E' -> error(message);
            case 'T', 'D', 'C' -> rowPart(type, message);
            case 'Z' -> ready();
            default -> throw Fault.lost("a message of unexpected type");
        }
    }

    /** The row comes as exactly one description, one row of one column and one completion. */
    private void rowPart(char type, ByteBuf message) throws Fault {
        boolean inOrder = type == 'T' && last == 0 || type == 'D' && last == 'T' || type == 'C' && last == 'D';
        if (state != State.ASKED || !inOrder || end != null) {
            throw Fault.lost("a part of a row out of order");
        }
        if (type != 'C' && (message.readableBytes() < 2 || message.getShort(message.readerIndex()) != 1)) {
            throw Fault.lost("a row that has not one column");
        }
        last = type;
        if (probing) {
            readValue(type, message);
        } else {
            if (row == null) {
                row = allocator.compositeBuffer(3);
            }
            // With its type and length, which stand before what the slice shows.
            message.readerIndex(0);
            row.addComponent(true, message.retainedSlice());
        }
        if (type == 'C') {
            end = ShotEnd.FULFILLED;
        }
    }

    private void readValue(char type, ByteBuf message) throws Fault {
        if (type == 'D') {
            int length = message.readableBytes() < 6 ? -1 : message.getInt(message.readerIndex() + 2);
            if (length < 0 || length > message.readableBytes() - 6) {
                throw Fault.lost("a value that is not whole");
            }
            value = message.toString(message.readerIndex() + 6, length, StandardCharsets.UTF_8);
        }
    }

    private void parameter(ByteBuf message) throws Fault {
        String name = text(message);
        String is = text(message);
        if (state == State.ASKED) {
            switch (name) {
                case "part" -> primary = is.equals("master") ? Boolean.TRUE
                        : is.equals("replica") ? Boolean.FALSE : null;
                case "caught_up_to" -> position = Gauges.position(is);
                case "gauges" -> report = Gauges.read(is);
                default -> { }
            }
        }
    }

    private static String text(ByteBuf message) throws Fault {
        int end = message.indexOf(message.readerIndex(), message.writerIndex(), (byte) 0);
        if (end < 0) {
            throw Fault.lost("a text without its zero");
        }
        String text = message.toString(message.readerIndex(), end - message.readerIndex(), StandardCharsets.UTF_8);
        message.readerIndex(end + 1);
        return text;
    }

    private void error(ByteBuf message) throws Fault {
        String code = "";
        while (message.isReadable() && message.getByte(message.readerIndex()) != 0) {
            boolean isCode = message.readByte() == 'C';
            String field = text(message);
            code = isCode ? field : code;
        }
        if (state == State.OPENING) {
            state = State.ENDED;
            events.answered(HostAnswer.of(code.equals("53300") ? ShotEnd.OVERFULL : ShotEnd.UNREACHED), false);
        } else if (state == State.ASKED && end == null) {
            dropRow();
            end = switch (code) {
                case "25006", "72000" -> ShotEnd.BEHIND;
                case "53300" -> ShotEnd.OVERFULL;
                default -> ShotEnd.ERROR;
            };
        } else {
            throw Fault.lost("an error that answers nothing");
        }
    }

    private void ready() throws Fault {
        if (state == State.OPENING) {
            state = State.IDLE;
            events.opened();
        } else if (state == State.ASKED && end != null) {
            state = State.IDLE;
            events.answered(answer(), true);
        } else {
            throw Fault.lost("ready without an answer");
        }
    }

    private HostAnswer answer() {
        if (probing && value != null) {
            report = Gauges.read(value);
        }
        ByteBuf whole = row;
        row = null;
        return new HostAnswer(end, whole, primary, position, report);
    }

    /** The connection ended; an answer that is whole but for what follows it still counts. */
    void ended() {
        State was = state;
        state = State.ENDED;
        frames.close();
        if (was == State.ASKED && end != null) {
            events.answered(answer(), false);
        } else if (was != State.ENDED) {
            dropRow();
            events.broken();
        }
    }

    /** Closed by us: nothing more is told. */
    void closed() {
        state = State.ENDED;
        frames.close();
        dropRow();
    }

    private void dropRow() {
        if (row != null) {
            row.release();
            row = null;
        }
    }
}
