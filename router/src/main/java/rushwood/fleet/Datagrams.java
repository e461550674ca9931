package rushwood.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The bytes of one {@link Message}, 256 at most as the platform allows: version, kind, the sender's
 * incarnation, the number, the target, the count of words, the words, and a CRC-32 of all before
 * it. What does not add up whole is refused whole: a datagram is never partly trusted.
 */
public final class Datagrams {
  /** The platform voids a run for a longer one. */
  public static final int MOST = 256;

  static final byte VERSION = 1;
  static final int HEAD = 1 + 1 + 8 + 4 + 6 + 1;
  static final int WORD = 6 + 1 + 8 + 6;
  static final int CHECK = 4;
  private static final MemberState[] STATES = MemberState.values();
  private static final Message.Kind[] KINDS = Message.Kind.values();

  static {
    if (HEAD + Membership.MOST_NEWS * WORD + CHECK > MOST) {
      throw new ExceptionInInitializerError(
          "a datagram with the most words would not fit in " + MOST);
    }
  }

  private Datagrams() {}

  public static byte[] encode(Message message) {
    if (message.news().size() > Membership.MOST_NEWS) {
      throw new IllegalArgumentException(
          message.news().size() + " words, " + Membership.MOST_NEWS + " at most");
    }
    ByteBuffer out = ByteBuffer.allocate(HEAD + message.news().size() * WORD + CHECK);
    out.put(VERSION)
        .put((byte) message.kind().ordinal())
        .putLong(message.incarnation())
        .putInt(message.number());
    member(out, message.target());
    out.put((byte) message.news().size());
    for (News news : message.news()) {
      member(out, news.member());
      out.put((byte) news.state().ordinal()).putLong(news.incarnation());
      member(out, news.by());
    }
    out.putInt(crc(out.array(), out.position()));
    return out.array();
  }

  /**
   * The message, or null where anything of it is wrong: length, version, kind, count, a state, the
   * check.
   */
  public static Message decode(byte[] bytes, int length) {
    if (length < HEAD + CHECK || length > MOST || length > bytes.length) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(bytes, 0, length);
    int count = bytes[HEAD - 1] & 0xff;
    if (count > Membership.MOST_NEWS
        || length != HEAD + count * WORD + CHECK
        || in.getInt(length - CHECK) != crc(bytes, length - CHECK)) {
      return null;
    }
    if (in.get() != VERSION) {
      return null;
    }
    int kind = in.get() & 0xff;
    if (kind >= KINDS.length) {
      return null;
    }
    long incarnation = in.getLong();
    int number = in.getInt();
    MemberId target = member(in);
    in.get();
    List<News> news = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      MemberId member = member(in);
      int state = in.get() & 0xff;
      if (state >= STATES.length) {
        return null;
      }
      news.add(new News(member, STATES[state], in.getLong(), member(in)));
    }
    return new Message(KINDS[kind], incarnation, number, target, news);
  }

  private static void member(ByteBuffer out, MemberId id) {
    out.putInt(id.address()).putShort((short) id.port());
  }

  private static MemberId member(ByteBuffer in) {
    return new MemberId(in.getInt(), in.getShort() & 0xffff);
  }

  private static int crc(byte[] bytes, int length) {
    CRC32 crc = new CRC32();
    crc.update(bytes, 0, length);
    return (int) crc.getValue();
  }
}
