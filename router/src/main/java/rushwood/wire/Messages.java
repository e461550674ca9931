package rushwood.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/** Writes the messages of PostgreSQL's protocol 3 that we send. */
final class Messages {
  static final int VERSION = 3 << 16;

  private Messages() {}

  private static int begin(ByteBuf out, char type) {
    out.writeByte(type);
    int at = out.writerIndex();
    out.writeInt(0);
    return at;
  }

  private static void end(ByteBuf out, int at) {
    out.setInt(at, out.writerIndex() - at);
  }

  private static void text(ByteBuf out, String text) {
    ByteBufUtil.writeUtf8(out, text);
    out.writeByte(0);
  }

  private static void field(ByteBuf out, char field, String value) {
    out.writeByte(field);
    text(out, value);
  }

  static void bare(ByteBuf out, char type) {
    end(out, begin(out, type));
  }

  static void ready(ByteBuf out) {
    int at = begin(out, 'Z');
    out.writeByte('I');
    end(out, at);
  }

  /** What answers a startup message, with the key by which what runs here can be cancelled. */
  static void welcome(ByteBuf out, long key) {
    int at = begin(out, 'R');
    out.writeInt(0);
    end(out, at);
    parameter(out, "server_version", "15.0 (rushwood)");
    parameter(out, "server_encoding", "UTF8");
    parameter(out, "client_encoding", "UTF8");
    parameter(out, "integer_datetimes", "on");
    parameter(out, "standard_conforming_strings", "on");
    at = begin(out, 'K');
    out.writeLong(key);
    end(out, at);
    ready(out);
  }

  static void parameter(ByteBuf out, String name, String value) {
    int at = begin(out, 'S');
    text(out, name);
    text(out, value);
    end(out, at);
  }

  /** Told to a client that asks for a minor version that we do not speak. */
  static void negotiate(ByteBuf out) {
    int at = begin(out, 'v');
    out.writeInt(0);
    out.writeInt(0);
    end(out, at);
  }

  /** An ErrorResponse; {@code detail} may be null. */
  static void error(ByteBuf out, boolean fatal, String state, String message, String detail) {
    int at = begin(out, 'E');
    String severity = fatal ? "FATAL" : "ERROR";
    field(out, 'S', severity);
    field(out, 'V', severity);
    field(out, 'C', state);
    field(out, 'M', message);
    if (detail != null) {
      field(out, 'D', detail);
    }
    out.writeByte(0);
    end(out, at);
  }

  static void columns(ByteBuf out, String... names) {
    int at = begin(out, 'T');
    out.writeShort(names.length);
    for (String name : names) {
      text(out, name);
      out.writeInt(0)
          .writeShort(0)
          .writeInt(25)
          .writeShort(-1)
          .writeInt(-1)
          .writeShort(0); // as text
    }
    end(out, at);
  }

  static void row(ByteBuf out, String... values) {
    int at = begin(out, 'D');
    out.writeShort(values.length);
    for (String value : values) {
      byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
      out.writeInt(bytes.length).writeBytes(bytes);
    }
    end(out, at);
  }

  static void complete(ByteBuf out, String tag) {
    int at = begin(out, 'C');
    text(out, tag);
    end(out, at);
  }

  /** What opens a connection to a host. */
  static ByteBuf startup(ByteBufAllocator allocator) {
    ByteBuf out = allocator.buffer(64);
    out.writeInt(0).writeInt(VERSION);
    text(out, "user");
    text(out, "client");
    text(out, "database");
    text(out, "core");
    out.writeByte(0);
    return out.setInt(0, out.writerIndex());
  }

  static ByteBuf query(ByteBufAllocator allocator, String statement) {
    ByteBuf out = allocator.buffer(statement.length() + 6);
    int at = begin(out, 'Q');
    text(out, statement);
    end(out, at);
    return out;
  }
}
