package rushwood.testbed.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Cuts what comes into messages of PostgreSQL's protocol 3, and writes some: written apart from the
 * router's own.
 */
public final class MessageCodec extends ByteToMessageDecoder {
  /**
   * A message: its type, 0 for the untyped first one, and its contents as text in which a byte is a
   * character.
   */
  public record Message(char type, String text) {
    /** The field of an error, or null. */
    public String field(char name) {
      for (int at = 0; at < text.length() && text.charAt(at) != 0; ) {
        int end = text.indexOf('\0', at);
        if (text.charAt(at) == name) {
          return text.substring(at + 1, end);
        }
        at = end + 1;
      }
      return null;
    }
  }

  private static final int MAX_MESSAGE_LENGTH = 1 << 20;

  private boolean expectStartup;

  /** {@code server}: the first message has no type. */
  public MessageCodec(boolean server) {
    expectStartup = server;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    int head = expectStartup ? 0 : 1;
    if (in.readableBytes() < head + 4) {
      return;
    }
    int length = in.getInt(in.readerIndex() + head);
    if (length < 4 || length > MAX_MESSAGE_LENGTH) {
      context.close();
      in.skipBytes(in.readableBytes());
      return;
    }
    if (in.readableBytes() < head + length) {
      return;
    }
    char type = expectStartup ? 0 : (char) in.readByte();
    in.skipBytes(4);
    out.add(
        new Message(type, in.readCharSequence(length - 4, StandardCharsets.ISO_8859_1).toString()));
    expectStartup = false;
  }

  public static void write(ByteBuf out, char type, String text) {
    if (type != 0) {
      out.writeByte(type);
    }
    out.writeInt(4 + text.length()).writeCharSequence(text, StandardCharsets.ISO_8859_1);
  }

  public static void writeStartup(ByteBuf out) {
    write(out, (char) 0, "\0\3\0\0user\0client\0database\0core\0\0");
  }

  public static void writeReadyForQuery(ByteBuf out) {
    write(out, 'Z', "I");
  }

  public static void writeAuthenticationOk(ByteBuf out) {
    write(out, 'R', "\0\0\0\0");
    writeReadyForQuery(out);
  }

  public static void writeParameterStatus(ByteBuf out, String name, String value) {
    write(out, 'S', name + "\0" + value + "\0");
  }

  public static void writeError(ByteBuf out, String code) {
    write(out, 'E', "SERROR\0C" + code + "\0Mno\0\0");
  }

  /** One column of one row, and its completion. */
  public static void writeRow(ByteBuf out, String value) {
    write(out, 'T', "\0\1val\0\0\0\0\0\0\0\0\0\0\21\377\377\377\377\377\377\0\0");
    int length = value.length();
    write(
        out,
        'D',
        "\0\1"
            + (char) (length >> 24)
            + (char) (length >> 16 & 255)
            + (char) (length >> 8 & 255)
            + (char) (length & 255)
            + value);
    write(out, 'C', "SELECT 1\0");
  }
}
