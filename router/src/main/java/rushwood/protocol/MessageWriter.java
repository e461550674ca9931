package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/** Writes the messages of PostgreSQL's protocol 3 that we send. */
public final class MessageWriter {
  static final int PROTOCOL_VERSION = 3 << 16;

  private MessageWriter() {}

  private static int beginMessage(ByteBuf out, char type) {
    out.writeByte(type);
    int lengthIndex = out.writerIndex();
    out.writeInt(0);
    return lengthIndex;
  }

  private static void endMessage(ByteBuf out, int lengthIndex) {
    out.setInt(lengthIndex, out.writerIndex() - lengthIndex);
  }

  private static void writeCString(ByteBuf out, String text) {
    ByteBufUtil.writeUtf8(out, text);
    out.writeByte(0);
  }

  private static void writeErrorField(ByteBuf out, char field, String value) {
    out.writeByte(field);
    writeCString(out, value);
  }

  public static void writeEmptyMessage(ByteBuf out, char type) {
    endMessage(out, beginMessage(out, type));
  }

  public static void writeReadyForQuery(ByteBuf out) {
    int lengthIndex = beginMessage(out, 'Z');
    out.writeByte('I');
    endMessage(out, lengthIndex);
  }

  /** What answers a startup message, with the key by which what runs here can be cancelled. */
  public static void writeStartupResponse(ByteBuf out, long cancelKey) {
    int lengthIndex = beginMessage(out, 'R');
    out.writeInt(0);
    endMessage(out, lengthIndex);
    writeParameterStatus(out, "server_version", "15.0 (rushwood)");
    writeParameterStatus(out, "server_encoding", "UTF8");
    writeParameterStatus(out, "client_encoding", "UTF8");
    writeParameterStatus(out, "integer_datetimes", "on");
    writeParameterStatus(out, "standard_conforming_strings", "on");
    lengthIndex = beginMessage(out, 'K');
    out.writeLong(cancelKey);
    endMessage(out, lengthIndex);
    writeReadyForQuery(out);
  }

  public static void writeParameterStatus(ByteBuf out, String name, String value) {
    int lengthIndex = beginMessage(out, 'S');
    writeCString(out, name);
    writeCString(out, value);
    endMessage(out, lengthIndex);
  }

  /** Told to a client that asks for a minor version that we do not speak. */
  public static void writeNegotiateProtocolVersion(ByteBuf out) {
    int lengthIndex = beginMessage(out, 'v');
    out.writeInt(0);
    out.writeInt(0);
    endMessage(out, lengthIndex);
  }

  /** An ErrorResponse; {@code detail} may be null. */
  public static void writeErrorResponse(
      ByteBuf out, boolean fatal, String sqlState, String message, String detail) {
    int lengthIndex = beginMessage(out, 'E');
    String severity = fatal ? "FATAL" : "ERROR";
    writeErrorField(out, 'S', severity);
    writeErrorField(out, 'V', severity);
    writeErrorField(out, 'C', sqlState);
    writeErrorField(out, 'M', message);
    if (detail != null) {
      writeErrorField(out, 'D', detail);
    }
    out.writeByte(0);
    endMessage(out, lengthIndex);
  }

  public static void writeRowDescription(ByteBuf out, String... names) {
    int lengthIndex = beginMessage(out, 'T');
    out.writeShort(names.length);
    for (String name : names) {
      writeCString(out, name);
      out.writeInt(0)
          .writeShort(0)
          .writeInt(25)
          .writeShort(-1)
          .writeInt(-1)
          .writeShort(0); // as text
    }
    endMessage(out, lengthIndex);
  }

  public static void writeDataRow(ByteBuf out, String... values) {
    int lengthIndex = beginMessage(out, 'D');
    out.writeShort(values.length);
    for (String value : values) {
      byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
      out.writeInt(bytes.length).writeBytes(bytes);
    }
    endMessage(out, lengthIndex);
  }

  public static void writeCommandComplete(ByteBuf out, String tag) {
    int lengthIndex = beginMessage(out, 'C');
    writeCString(out, tag);
    endMessage(out, lengthIndex);
  }

  /** What opens a connection to a host. */
  public static ByteBuf startupMessage(ByteBufAllocator allocator) {
    ByteBuf out = allocator.buffer(64);
    out.writeInt(0).writeInt(PROTOCOL_VERSION);
    writeCString(out, "user");
    writeCString(out, "client");
    writeCString(out, "database");
    writeCString(out, "core");
    out.writeByte(0);
    return out.setInt(0, out.writerIndex());
  }

  public static ByteBuf queryMessage(ByteBufAllocator allocator, String statement) {
    ByteBuf out = allocator.buffer(statement.length() + 6);
    int lengthIndex = beginMessage(out, 'Q');
    writeCString(out, statement);
    endMessage(out, lengthIndex);
    return out;
  }
}
